//! The subcommands.

use std::path::Path;
use std::time::Duration;

use primrose_base::name::Name;
use primrose_config::{Change, Code, Configuration, Refusal};
use primrose_operator::order::{State, Work};
use primrose_operator::text::{self, Either};
use primrose_operator::{Client, Outcome, Plan, Progress, api, plan};
use serde::Serialize;

use crate::failure::{Details, Failure, print_json, print_stderr, print_stdout};
use crate::flags::{Apply, Check, Diff, Drain, DrainCmd, Order, OrderCmd, Primrose, PrimroseCmd};
use crate::settings;
use crate::shell;
use crate::table::Table;

/// Time limit of `--wait`, in seconds. An accepted change is in force everywhere within 17 s.
const WAIT_TIMEOUT_S: u64 = 20;

/// Runs the subcommand that the command line selects.
pub(crate) async fn run(flags: Primrose) -> Result<(), Failure> {
    let json = flags.json;
    let client = || settings::client(flags.addresses.as_deref(), flags.key_file.as_deref());
    match flags.subcommand {
        PrimroseCmd::Check(check) => run_check(&check, json),
        PrimroseCmd::Show(_) => run_show(&client()?, json).await,
        PrimroseCmd::Diff(diff) => run_diff(&client()?, &diff, json).await,
        PrimroseCmd::Apply(apply) => run_apply(&client()?, &apply, json).await,
        PrimroseCmd::Drain(drain) => run_drain(&client()?, drain, json).await,
        PrimroseCmd::Order(order) => run_order(&client()?, order, json).await,
        PrimroseCmd::Status(_) => run_status(&client()?, json).await,
        PrimroseCmd::Accounts(_) => run_accounts(&client()?, json).await,
        PrimroseCmd::Counters(_) => run_counters(&client()?, json).await,
    }
}

/// An input file with a configuration or a change.
struct File {
    /// Path of the file, as error messages show it.
    name: String,
    text: String,
}

impl File {
    fn read(path: &Path) -> Result<File, Failure> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(File { name, text }),
            Err(cause) => Err(Failure::Usage(format!("{name} cannot be read: {cause}"))),
        }
    }

    fn parse(&self) -> Result<Either, Failure> {
        text::read_either(&self.name, &self.text).map_err(Failure::invalid_text)
    }

    fn configuration(&self) -> Result<Configuration, Failure> {
        match self.parse()? {
            Either::Configuration(configuration) => Ok(*configuration),
            Either::Change(_) => Err(Failure::Usage(format!(
                "{} holds a change, not a configuration",
                self.name
            ))),
        }
    }

    fn change(&self) -> Result<Change, Failure> {
        match self.parse()? {
            Either::Change(change) => Ok(change),
            Either::Configuration(_) => Err(Failure::Usage(format!(
                "{} holds a configuration; use `primrose diff` to make a change from it",
                self.name
            ))),
        }
    }

    /// Failure for a refusal of the change in this file, with the location of the refused part. `version` is that of
    /// the configuration that refused the change, if known.
    fn refused(&self, refusal: &Refusal, version: Option<u64>) -> Failure {
        Failure::Refused(Box::new(Details {
            code: refusal.code.as_str().to_owned(),
            message: refusal.message.clone(),
            action: refusal.action,
            version,
            diagnostic: Some(text::locate_refusal(&self.name, &self.text, refusal)),
        }))
    }
}

/// JSON output of `primrose check`.
#[derive(Serialize)]
struct Checked {
    outcome: &'static str,
    version: Option<u64>,
    actions: Option<usize>,
}

fn run_check(check: &Check, json: bool) -> Result<(), Failure> {
    let file = File::read(&check.file)?;
    let mut checked = Checked {
        outcome: "valid",
        version: None,
        actions: None,
    };
    let message = match file.parse()? {
        Either::Configuration(_) if check.against.is_some() => {
            let message = "--against is only for a file with a change; compare configurations with `primrose diff`";
            return Err(Failure::Usage(message.to_owned()));
        }
        Either::Configuration(configuration) => {
            checked.version = Some(configuration.version);
            format!("valid configuration, version {}", configuration.version)
        }
        Either::Change(change) => {
            check_change(&file, &change, check.against.as_deref())?;
            checked.actions = Some(change.actions.len());
            format!(
                "valid change {} for version {}, actions: {}",
                change.id,
                change.base,
                change.actions.len()
            )
        }
    };
    if json {
        print_json(&checked);
    } else {
        print_stdout(&(message + "\n"));
    }
    Ok(())
}

fn check_change(file: &File, change: &Change, against: Option<&Path>) -> Result<(), Failure> {
    change
        .check()
        .map_err(|refusal| file.refused(&refusal, None))?;
    let Some(path) = against else {
        return Ok(());
    };
    let current = File::read(path)?.configuration()?;
    match current.apply(change) {
        Ok(_) => Ok(()),
        Err(refusal) => Err(file.refused(&refusal, Some(current.version))),
    }
}

async fn fetch_configuration(client: &Client) -> Result<Configuration, Failure> {
    let configuration = client.configuration().await;
    configuration.map_err(|error| Failure::other(error.to_string()))
}

async fn run_show(client: &Client, json: bool) -> Result<(), Failure> {
    let configuration = fetch_configuration(client).await?;
    if json {
        print_json(&configuration);
    } else {
        print_stdout(&text::print_configuration(&configuration));
    }
    Ok(())
}

async fn run_diff(client: &Client, diff: &Diff, json: bool) -> Result<(), Failure> {
    let file = File::read(&diff.file)?;
    let target = file.configuration()?;
    let current = fetch_configuration(client).await?;
    if target.version != current.version {
        return Err(Failure::Refused(Box::new(Details {
            code: Code::BaseVersion.as_str().to_owned(),
            message: format!(
                "{} is based on version {}, but the current version is {}; the difference would undo the changes in \
                 between. Run `primrose show` again and repeat the edit",
                file.name, target.version, current.version
            ),
            action: None,
            version: Some(current.version),
            diagnostic: None,
        })));
    }
    let plan = Plan::from_difference(&current, &target);
    if plan.is_empty() {
        print_stderr("no difference");
        return Ok(());
    }
    let id = diff.id.clone().unwrap_or_else(|| plan::random_id("diff"));
    let change = plan
        .into_change(id)
        .map_err(|refusal| refused_by_plan(refusal, &current))?;
    if json {
        print_json(&change);
    } else {
        print_stdout(&text::print_change(&change));
    }
    Ok(())
}

fn refused_by_plan(refusal: Refusal, current: &Configuration) -> Failure {
    Failure::Refused(Box::new(Details {
        code: refusal.code.as_str().to_owned(),
        message: refusal.message,
        action: refusal.action,
        version: Some(current.version),
        diagnostic: None,
    }))
}

async fn run_apply(client: &Client, apply: &Apply, json: bool) -> Result<(), Failure> {
    let file = File::read(&apply.file)?;
    let change = file.change()?;
    check_change(&file, &change, None)?;
    let resend = shell::join(&["primrose", "apply", &file.name]);
    submit(client, &change, resend, Some(&file), apply.wait, json).await
}

async fn run_drain(client: &Client, drain: Drain, json: bool) -> Result<(), Failure> {
    let id = drain.id.unwrap_or_else(|| plan::random_id("drain"));
    let (noun, name, action) = match drain.subcommand {
        DrainCmd::Server(server) => {
            let action = primrose_config::Action::DrainServer(server.name.clone());
            ("server", server.name, action)
        }
        DrainCmd::Host(host) => {
            let action = primrose_config::Action::DrainHost(host.name.clone());
            ("host", host.name, action)
        }
    };
    let base = match drain.base {
        Some(base) => base,
        None => fetch_configuration(client).await?.version,
    };
    let resend = format!("primrose drain {noun} {name} --id {id} --base {base}");
    let actions = vec![action];
    let change = Change { id, base, actions };
    submit(client, &change, resend, None, drain.wait, json).await
}

/// JSON output of `primrose apply` and `primrose drain` for an accepted change.
#[derive(Serialize)]
struct Accepted<'a> {
    outcome: &'static str,
    change: &'a Name,
    version: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    progress: Option<Progress>,
}

/// Submits a change and prints the outcome. `file` is the file with the change, if it comes from one. `resend` is the
/// command line that submits the same change again.
async fn submit(
    client: &Client,
    change: &Change,
    resend: String,
    file: Option<&File>,
    wait: bool,
    json: bool,
) -> Result<(), Failure> {
    let version = match client.submit(change).await {
        Outcome::Accepted(version) => version,
        Outcome::Refused(refused) => return Err(refused_by_fleet(refused, file)),
        Outcome::Unknown { attempts } => {
            return Err(Failure::Unknown {
                submission: format!("change {}", change.id),
                attempts,
                resend,
            });
        }
    };
    if !json {
        print_stdout(&format!(
            "accepted: change {} made version {version}\n",
            change.id
        ));
    }
    let progress = if wait {
        wait_for_progress(client, version).await
    } else {
        None
    };
    if json {
        print_json(&Accepted {
            outcome: "accepted",
            change: &change.id,
            version,
            progress,
        });
    } else if let Some(progress) = progress {
        print_stdout(&format_progress(&progress));
    }
    Ok(())
}

fn refused_by_fleet(refused: api::Refused, file: Option<&File>) -> Failure {
    let refusal = Code::from_text(&refused.code).map(|code| Refusal {
        code,
        message: refused.message.clone(),
        action: refused.action,
        field: refused.field.clone(),
    });
    if let (Some(file), Some(refusal)) = (file, refusal) {
        return file.refused(&refusal, refused.version);
    }
    Failure::Refused(Box::new(Details {
        code: refused.code,
        message: refused.message,
        action: refused.action,
        version: refused.version,
        diagnostic: None,
    }))
}

/// Waits until an accepted change is in force. If no daemon can tell its progress, prints a warning and returns none,
/// as the change is accepted nevertheless.
async fn wait_for_progress(client: &Client, version: u64) -> Option<Progress> {
    match client
        .wait_for_version(version, Duration::from_secs(WAIT_TIMEOUT_S))
        .await
    {
        Ok(progress) => Some(progress),
        Err(error) => {
            print_stderr(&format!(
                "the change is accepted, but it is not known on which hosts it is in force: {error}"
            ));
            None
        }
    }
}

fn format_progress(progress: &Progress) -> String {
    let reachable = progress.in_force.len() + progress.behind.len();
    let mut text = format!(
        "in force on {} of {reachable} reachable hosts\n",
        progress.in_force.len()
    );
    for (title, hosts) in [
        ("not yet in force", &progress.behind),
        ("not reachable", &progress.unreachable),
    ] {
        if !hosts.is_empty() {
            let names: Vec<&str> = hosts.iter().map(Name::as_str).collect();
            text.push_str(&format!("{title}: {}\n", names.join(", ")));
        }
    }
    text
}

/// JSON output of `primrose order` for a recorded order.
#[derive(Serialize)]
struct Recorded<'a> {
    outcome: &'static str,
    order: &'a Name,
    number: u64,
}

async fn run_order(client: &Client, order: Order, json: bool) -> Result<(), Failure> {
    let id = order.id.unwrap_or_else(|| plan::random_id("order"));
    let (server, work) = match order.subcommand {
        OrderCmd::List(_) => return run_order_list(client, json).await,
        OrderCmd::LoadModel(load) => (load.server, Work::LoadModel { model: load.model }),
        OrderCmd::LoadAdapter(load) => {
            let (model, adapter) = (load.model, load.adapter);
            (load.server, Work::LoadAdapter { model, adapter })
        }
        OrderCmd::LoadVersion(load) => {
            let (model, version) = (load.model, load.version);
            (load.server, Work::LoadVersion { model, version })
        }
        OrderCmd::ChangeRole(change) => (change.server, Work::ChangeRole { role: change.role }),
    };
    let request = api::OrderRequest { id, server, work };
    let number = match client.submit_order(&request).await {
        Outcome::Accepted(number) => number,
        Outcome::Refused(refused) => return Err(refused_by_fleet(refused, None)),
        Outcome::Unknown { attempts } => {
            let (command, parameters) = work_arguments(&request.work);
            let mut arguments = vec!["primrose", "order", "--id", request.id.as_str(), command];
            arguments.push(request.server.as_str());
            arguments.extend(parameters);
            return Err(Failure::Unknown {
                submission: format!("order {}", request.id),
                attempts,
                resend: shell::join(&arguments),
            });
        }
    };
    if json {
        print_json(&Recorded {
            outcome: "recorded",
            order: &request.id,
            number,
        });
    } else {
        print_stdout(&format!(
            "recorded: order {} has number {number}\n",
            request.id
        ));
    }
    Ok(())
}

/// The subcommand of `primrose order` for an operation, and its arguments except the server.
fn work_arguments(work: &Work) -> (&'static str, Vec<&str>) {
    match work {
        Work::LoadModel { model } => ("load-model", vec![model]),
        Work::LoadAdapter { model, adapter } => ("load-adapter", vec![model, adapter]),
        Work::LoadVersion { model, version } => ("load-version", vec![model, version]),
        Work::ChangeRole { role } => ("change-role", vec![role]),
    }
}

async fn run_order_list(client: &Client, json: bool) -> Result<(), Failure> {
    let orders = client.orders().await;
    let orders = orders.map_err(|error| Failure::other(error.to_string()))?;
    if json {
        print_json(&orders);
        return Ok(());
    }
    let mut table = Table::new(&["NUMBER", "ID", "SERVER", "WORK", "STATE"]);
    for order in &orders.orders {
        let (command, parameters) = work_arguments(&order.work);
        let state = match &order.state {
            State::Pending => "pending".to_owned(),
            State::Done => "done".to_owned(),
            State::Failed { message } => format!("failed: {message}"),
            State::Cancelled => "cancelled".to_owned(),
        };
        table.add_row(vec![
            order.number.to_string(),
            order.id.to_string(),
            order.server.as_ref().map_or("-", Name::as_str).to_owned(),
            format!("{command} {}", parameters.join(" ")),
            state,
        ]);
    }
    print_stdout(&table.render());
    Ok(())
}

async fn run_status(client: &Client, json: bool) -> Result<(), Failure> {
    let status = client.status().await;
    let status = status.map_err(|error| Failure::other(error.to_string()))?;
    if json {
        print_json(&status);
        return Ok(());
    }
    let leader = status.leader.as_ref().map_or("none", Name::as_str);
    print_stdout(&format!(
        "seen by {}: version {}, leader {leader}, term {}, {} of {} voters reachable\n\n",
        status.host, status.version, status.term, status.reachable_voters, status.voters
    ));
    let mut table = Table::new(&[
        "HOST",
        "DOMAIN",
        "REACHABLE",
        "VERSION",
        "INCARNATION",
        "ROLE",
        "READY",
    ]);
    let number = |value: Option<u64>| value.map_or_else(|| "-".to_owned(), |v| v.to_string());
    for host in &status.hosts {
        table.add_row(vec![
            host.name.to_string(),
            host.domain.to_string(),
            yes_or_no(host.reachable),
            number(host.version),
            number(host.incarnation),
            role_name(host.role).to_owned(),
            yes_or_no(host.ready),
        ]);
    }
    print_stdout(&table.render());
    Ok(())
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn role_name(role: api::Role) -> &'static str {
    match role {
        api::Role::Leader => "leader",
        api::Role::Voter => "voter",
        api::Role::Learner => "learner",
        api::Role::Follower => "follower",
    }
}

async fn run_accounts(client: &Client, json: bool) -> Result<(), Failure> {
    let accounts = client.accounts().await;
    let accounts = accounts.map_err(|error| Failure::other(error.to_string()))?;
    if json {
        print_json(&accounts);
        return Ok(());
    }
    let mut table = Table::new(&[
        "ACCOUNT",
        "POOL",
        "SHARE",
        "WAITING",
        "IN-FLIGHT",
        "SERVICE",
        "V",
    ]);
    for account in &accounts.accounts {
        table.add_row(vec![
            account.account.to_string(),
            account.pool.to_string(),
            account.share.to_string(),
            account.waiting.to_string(),
            account.in_flight.to_string(),
            account.service.to_string(),
            account.normalised_service.to_string(),
        ]);
    }
    print_stdout(&table.render());
    Ok(())
}

async fn run_counters(client: &Client, json: bool) -> Result<(), Failure> {
    let counters = client.counters().await;
    let counters = counters.map_err(|error| Failure::other(error.to_string()))?;
    if json {
        print_json(&counters);
        return Ok(());
    }
    let mut table = Table::new(&["COUNTER", counters.host.as_str()]);
    for counter in &counters.counters {
        table.add_row(vec![counter.name.clone(), counter.value.to_string()]);
    }
    print_stdout(&table.render());
    Ok(())
}
