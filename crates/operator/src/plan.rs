//! Builds changes of the configuration.

use primrose_base::name::Name;
use primrose_config::{Action, Change, Code, Configuration, Refusal, difference, spec};
use rand::RngExt;

/// Builder of a change to a known configuration.
///
/// ```
/// use primrose_config::{Configuration, KeyHash, spec};
/// use primrose_operator::{Plan, plan, text};
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let kitchens = spec::Account::new("kitchens".parse()?, 4).with_key(KeyHash::of("key of the kitchens"));
/// let change = Plan::new(&Configuration::default())
///     .put_account(kitchens)
///     .put_pool(spec::Pool::model("chat".parse()?, "plum-8b"))
///     .into_change("first-account".parse()?)?;
/// let reviewed = text::print_change(&change);
/// assert_eq!(text::read_change("first-account.yaml", &reviewed)?, change);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Plan {
    current: Configuration,
    actions: Vec<Action>,
}

impl Plan {
    /// A plan without actions, for a fleet whose configuration is `current`.
    pub fn new(current: &Configuration) -> Plan {
        Plan {
            current: current.clone(),
            actions: Vec::new(),
        }
    }

    /// A plan with the actions that turn `current` into `target`.
    pub fn from_difference(current: &Configuration, target: &Configuration) -> Plan {
        Plan {
            current: current.clone(),
            actions: difference(current, target),
        }
    }

    /// Appends an action.
    pub fn add_action(mut self, action: Action) -> Plan {
        self.actions.push(action);
        self
    }

    /// Adds an account, or replaces the fields of an existing one.
    pub fn put_account(self, account: spec::Account) -> Plan {
        self.add_action(Action::PutAccount(account))
    }

    /// Sets the share of an existing account and keeps its other fields.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`Code::UnknownName`] if the current configuration has no such account.
    pub fn set_share(self, name: &Name, share: u32) -> Result<Plan, Refusal> {
        let Some(account) = self.current.accounts.get(name.as_str()) else {
            let message = format!("there is no account {name}");
            return Err(Refusal::of_change(Code::UnknownName, message));
        };
        let account = spec::Account {
            share,
            ..account.spec()
        };
        Ok(self.put_account(account))
    }

    /// Adds a pool, or replaces the fields of an existing one.
    pub fn put_pool(self, pool: spec::Pool) -> Plan {
        self.add_action(Action::PutPool(pool))
    }

    /// Adds a backend server. The name must be unused or belong to a retired server.
    pub fn add_server(self, server: spec::Server) -> Plan {
        self.add_action(Action::AddServer(server))
    }

    /// Lets a backend server finish its requests and gives it no new ones.
    pub fn drain_server(self, name: Name) -> Plan {
        self.add_action(Action::DrainServer(name))
    }

    /// Adds a host. The name must be unused or belong to a retired host.
    pub fn add_host(self, host: spec::Host) -> Plan {
        self.add_action(Action::AddHost(host))
    }

    /// Lets a host finish its requests and gives it no new ones.
    pub fn drain_host(self, name: Name) -> Plan {
        self.add_action(Action::DrainHost(name))
    }

    /// Whether the plan has no actions.
    pub fn is_empty(&self) -> bool {
        self.actions.is_empty()
    }

    /// Checks the plan against its configuration and returns it as a change with this id.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the fleet would give if its configuration is still the one of the plan.
    pub fn into_change(self, id: Name) -> Result<Change, Refusal> {
        let change = Change {
            id,
            base: self.current.version,
            actions: self.actions,
        };
        self.current.apply(&change)?;
        Ok(change)
    }
}

/// A random id for a change or an order: `prefix`, a hyphen and 64 random bits in hexadecimal, so that no two ids are
/// equal in practice. If `prefix` cannot be part of a name, the id starts with `c` instead.
pub fn random_id(prefix: &str) -> Name {
    let number: u64 = rand::rng().random();
    let id = format!("{prefix}-{number:016x}");
    match Name::new(&id) {
        Ok(name) => name,
        // `prefix` makes the name invalid. The prefix `c` gives a valid one.
        Err(_) => Name::new(&format!("c-{number:016x}")).unwrap_or_else(|_| random_id("c")),
    }
}
