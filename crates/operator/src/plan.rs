//! Planned changes as values.

use primrose_base::name::Name;
use primrose_config::{Action, Change, Code, Configuration, Refusal, difference, spec};
use rand::RngExt;

/// A change that is being put together against a known configuration.
///
/// ```
/// use primrose_config::{Configuration, KeyHash, spec};
/// use primrose_operator::{Plan, plan, text};
///
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let kitchens = spec::Account::new("kitchens".parse()?, 4).with_key(KeyHash::of("key of the kitchens"));
/// let change = Plan::against(&Configuration::default())
///     .put_account(kitchens)
///     .put_pool(spec::Pool::model("chat".parse()?, "plum-8b"))
///     .change("first-account".parse()?)?;
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
    /// An empty plan for a fleet with this configuration.
    pub fn against(current: &Configuration) -> Plan {
        Plan {
            current: current.clone(),
            actions: Vec::new(),
        }
    }

    /// The plan that turns `current` into `target`.
    pub fn towards(current: &Configuration, target: &Configuration) -> Plan {
        Plan {
            current: current.clone(),
            actions: difference(current, target),
        }
    }

    /// Adds any action.
    pub fn action(mut self, action: Action) -> Plan {
        self.actions.push(action);
        self
    }

    /// Adds an account or replaces its fields.
    pub fn put_account(self, account: spec::Account) -> Plan {
        self.action(Action::PutAccount(account))
    }

    /// Changes the share of an account and keeps its other fields.
    ///
    /// # Errors
    ///
    /// Refuses the plan if there is no such account.
    pub fn share(self, name: &Name, share: u32) -> Result<Plan, Refusal> {
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

    /// Adds a pool or replaces its fields.
    pub fn put_pool(self, pool: spec::Pool) -> Plan {
        self.action(Action::PutPool(pool))
    }

    /// Adds a server.
    pub fn add_server(self, server: spec::Server) -> Plan {
        self.action(Action::AddServer(server))
    }

    /// Gives a server no new work.
    pub fn drain_server(self, name: Name) -> Plan {
        self.action(Action::DrainServer(name))
    }

    /// Adds a host.
    pub fn add_host(self, host: spec::Host) -> Plan {
        self.action(Action::AddHost(host))
    }

    /// Lets a host finish its requests.
    pub fn drain_host(self, name: Name) -> Plan {
        self.action(Action::DrainHost(name))
    }

    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.actions.is_empty()
    }

    /// The change, to be printed, reviewed and submitted.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the fleet would give, as long as its configuration stays what it is.
    pub fn change(self, id: Name) -> Result<Change, Refusal> {
        let change = Change {
            id,
            base: self.current.version,
            actions: self.actions,
        };
        self.current.apply(&change)?;
        Ok(change)
    }
}

/// A change id that no other change has: a prefix and 64 random bits.
pub fn random_id(prefix: &str) -> Name {
    let number: u64 = rand::rng().random();
    let id = format!("{prefix}-{number:016x}");
    match Name::new(&id) {
        Ok(name) => name,
        // The prefix is no part of a name; the number alone is.
        Err(_) => Name::new(&format!("c-{number:016x}")).unwrap_or_else(|_| random_id("c")),
    }
}
