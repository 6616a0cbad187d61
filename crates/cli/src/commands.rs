//! What each subcommand does.

use std::path::Path;
use std::time::Duration;

use primrose_base::name::Name;
use primrose_config::{Change, Code, Configuration, Refusal};
use primrose_operator::order::{State, Work};
use primrose_operator::text::{self, Either};
use primrose_operator::{Client, Outcome, Plan, Progress, api, plan};
use serde::Serialize;

use crate::end::{End, Report, complain, print_json, say};
use crate::flags::{Apply, Check, Diff, Drain, DrainCmd, Order, OrderCmd, Primrose, PrimroseCmd};
use crate::settings;
use crate::table::Table;

/// How long `--wait` waits, in seconds. An accepted change is in force everywhere within 17 s.
const PATIENCE_S: u64 = 20;

/// Carries out the command line.
pub(crate) async fn run(flags: Primrose) -> Result<(), End> {
    let json = flags.json;
    let client = || settings::client(flags.addresses.as_deref(), flags.key_file.as_deref());
    match flags.subcommand {
        PrimroseCmd::Check(check) => run_check(&check, json),
        PrimroseCmd::Show(_) => show(&client()?, json).await,
        PrimroseCmd::Diff(diff) => run_diff(&client()?, &diff, json).await,
        PrimroseCmd::Apply(apply) => run_apply(&client()?, &apply, json).await,
        PrimroseCmd::Drain(drain) => run_drain(&client()?, drain, json).await,
        PrimroseCmd::Order(order) => run_order(&client()?, order, json).await,
        PrimroseCmd::Status(_) => status(&client()?, json).await,
        PrimroseCmd::Accounts(_) => accounts(&client()?, json).await,
        PrimroseCmd::Counters(_) => counters(&client()?, json).await,
    }
}

/// A file of the operator.
struct File {
    name: String,
    text: String,
}

impl File {
    fn read(path: &Path) -> Result<File, End> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(File { name, text }),
            Err(cause) => Err(End::Usage(format!("{name} cannot be read: {cause}"))),
        }
    }

    fn either(&self) -> Result<Either, End> {
        text::read_either(&self.name, &self.text).map_err(End::text)
    }

    fn configuration(&self) -> Result<Configuration, End> {
        match self.either()? {
            Either::Configuration(configuration) => Ok(*configuration),
            Either::Change(_) => Err(End::Usage(format!(
                "{} holds a change, not a configuration",
                self.name
            ))),
        }
    }

    fn change(&self) -> Result<Change, End> {
        match self.either()? {
            Either::Change(change) => Ok(change),
            Either::Configuration(_) => Err(End::Usage(format!(
                "{} holds a configuration; make a change of it with `primrose diff`",
                self.name
            ))),
        }
    }

    /// Shows a refusal of the change in this file.
    fn refusal(&self, refusal: &Refusal, version: Option<u64>) -> End {
        End::Refused(Box::new(Report {
            code: refusal.code.as_str().to_owned(),
            message: refusal.message.clone(),
            action: refusal.action,
            version,
            place: Some(text::locate_refusal(&self.name, &self.text, refusal)),
        }))
    }
}

#[derive(Serialize)]
struct Checked {
    outcome: &'static str,
    version: Option<u64>,
    actions: Option<usize>,
}

fn run_check(check: &Check, json: bool) -> Result<(), End> {
    let file = File::read(&check.file)?;
    let mut checked = Checked {
        outcome: "valid",
        version: None,
        actions: None,
    };
    let message = match file.either()? {
        Either::Configuration(_) if check.against.is_some() => {
            let message = "--against is for a change; compare configurations with `primrose diff`";
            return Err(End::Usage(message.to_owned()));
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
        say(&(message + "\n"));
    }
    Ok(())
}

fn check_change(file: &File, change: &Change, against: Option<&Path>) -> Result<(), End> {
    change
        .check()
        .map_err(|refusal| file.refusal(&refusal, None))?;
    let Some(path) = against else {
        return Ok(());
    };
    let current = File::read(path)?.configuration()?;
    match current.apply(change) {
        Ok(_) => Ok(()),
        Err(refusal) => Err(file.refusal(&refusal, Some(current.version))),
    }
}

async fn configuration(client: &Client) -> Result<Configuration, End> {
    let answer = client.configuration().await;
    answer.map_err(|error| End::failed(error.to_string()))
}

async fn show(client: &Client, json: bool) -> Result<(), End> {
    let configuration = configuration(client).await?;
    if json {
        print_json(&configuration);
    } else {
        say(&text::print_configuration(&configuration));
    }
    Ok(())
}

async fn run_diff(client: &Client, diff: &Diff, json: bool) -> Result<(), End> {
    let file = File::read(&diff.file)?;
    let target = file.configuration()?;
    let current = configuration(client).await?;
    if target.version != current.version {
        return Err(End::Refused(Box::new(Report {
            code: Code::BaseVersion.as_str().to_owned(),
            message: format!(
                "{} was made from version {}, the current version is {}; a difference would undo the changes in between. \
                 Make the file anew with `primrose show` and edit it again",
                file.name, target.version, current.version
            ),
            action: None,
            version: Some(current.version),
            place: None,
        })));
    }
    let plan = Plan::from_difference(&current, &target);
    if plan.is_empty() {
        complain("no difference");
        return Ok(());
    }
    let id = diff.id.clone().unwrap_or_else(|| plan::random_id("diff"));
    let change = plan
        .into_change(id)
        .map_err(|refusal| refused(refusal, &current))?;
    if json {
        print_json(&change);
    } else {
        say(&text::print_change(&change));
    }
    Ok(())
}

fn refused(refusal: Refusal, current: &Configuration) -> End {
    End::Refused(Box::new(Report {
        code: refusal.code.as_str().to_owned(),
        message: refusal.message,
        action: refusal.action,
        version: Some(current.version),
        place: None,
    }))
}

async fn run_apply(client: &Client, apply: &Apply, json: bool) -> Result<(), End> {
    let file = File::read(&apply.file)?;
    let change = file.change()?;
    check_change(&file, &change, None)?;
    let resend = format!("primrose apply {}", file.name);
    submit(client, &change, resend, Some(&file), apply.wait, json).await
}

async fn run_drain(client: &Client, drain: Drain, json: bool) -> Result<(), End> {
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
        None => configuration(client).await?.version,
    };
    let resend = format!("primrose drain {noun} {name} --id {id} --base {base}");
    let actions = vec![action];
    let change = Change { id, base, actions };
    submit(client, &change, resend, None, drain.wait, json).await
}

#[derive(Serialize)]
struct Accepted<'a> {
    outcome: &'static str,
    change: &'a Name,
    version: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    progress: Option<Progress>,
}

/// Submits a change and reports what became of it. `resend` is the command that does the same again.
async fn submit(
    client: &Client,
    change: &Change,
    resend: String,
    file: Option<&File>,
    wait: bool,
    json: bool,
) -> Result<(), End> {
    let version = match client.submit(change).await {
        Outcome::Accepted(version) => version,
        Outcome::Refused(refused) => return Err(refused_by_fleet(refused, file)),
        Outcome::Unknown { attempts } => {
            return Err(End::Unknown {
                what: format!("change {}", change.id),
                attempts,
                resend,
            });
        }
    };
    if !json {
        say(&format!(
            "accepted: change {} made version {version}\n",
            change.id
        ));
    }
    let progress = if wait {
        progress(client, version).await
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
        say(&describe(&progress));
    }
    Ok(())
}

fn refused_by_fleet(refused: api::Refused, file: Option<&File>) -> End {
    let refusal = Code::from_text(&refused.code).map(|code| Refusal {
        code,
        message: refused.message.clone(),
        action: refused.action,
        field: refused.field.clone(),
    });
    if let (Some(file), Some(refusal)) = (file, refusal) {
        return file.refusal(&refusal, refused.version);
    }
    End::Refused(Box::new(Report {
        code: refused.code,
        message: refused.message,
        action: refused.action,
        version: refused.version,
        place: None,
    }))
}

/// The progress of an accepted change. It stays accepted if nobody can tell how far it is.
async fn progress(client: &Client, version: u64) -> Option<Progress> {
    match client
        .wait_for_version(version, Duration::from_secs(PATIENCE_S))
        .await
    {
        Ok(progress) => Some(progress),
        Err(error) => {
            complain(&format!(
                "the change is accepted; how far it is in force is not known: {error}"
            ));
            None
        }
    }
}

fn describe(progress: &Progress) -> String {
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

#[derive(Serialize)]
struct Recorded<'a> {
    outcome: &'static str,
    order: &'a Name,
    number: u64,
}

async fn run_order(client: &Client, order: Order, json: bool) -> Result<(), End> {
    let id = order.id.unwrap_or_else(|| plan::random_id("order"));
    let (server, work) = match order.subcommand {
        OrderCmd::List(_) => return orders(client, json).await,
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
            let arguments = describe_work(&request.work).join(&format!(" {} ", request.server));
            return Err(End::Unknown {
                what: format!("order {}", request.id),
                attempts,
                resend: format!("primrose order --id {} {arguments}", request.id),
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
        say(&format!(
            "recorded: order {} has number {number}\n",
            request.id
        ));
    }
    Ok(())
}

/// The subcommand and its arguments after the server.
fn describe_work(work: &Work) -> [String; 2] {
    let (command, arguments) = match work {
        Work::LoadModel { model } => ("load-model", model.clone()),
        Work::LoadAdapter { model, adapter } => ("load-adapter", format!("{model} {adapter}")),
        Work::LoadVersion { model, version } => ("load-version", format!("{model} {version}")),
        Work::ChangeRole { role } => ("change-role", role.clone()),
    };
    [command.to_owned(), arguments]
}

async fn orders(client: &Client, json: bool) -> Result<(), End> {
    let orders = client.orders().await;
    let orders = orders.map_err(|error| End::failed(error.to_string()))?;
    if json {
        print_json(&orders);
        return Ok(());
    }
    let mut table = Table::new(&["NUMBER", "ID", "SERVER", "WORK", "STATE"]);
    for order in &orders.orders {
        let state = match &order.state {
            State::Pending => "pending".to_owned(),
            State::Done => "done".to_owned(),
            State::Failed { message } => format!("failed: {message}"),
            State::Cancelled => "cancelled".to_owned(),
        };
        table.row(vec![
            order.number.to_string(),
            order.id.to_string(),
            order.server.as_ref().map_or("-", Name::as_str).to_owned(),
            describe_work(&order.work).join(" "),
            state,
        ]);
    }
    say(&table.lines());
    Ok(())
}

async fn status(client: &Client, json: bool) -> Result<(), End> {
    let status = client.status().await;
    let status = status.map_err(|error| End::failed(error.to_string()))?;
    if json {
        print_json(&status);
        return Ok(());
    }
    let leader = status.leader.as_ref().map_or("none", Name::as_str);
    say(&format!(
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
        table.row(vec![
            host.name.to_string(),
            host.domain.to_string(),
            yes_or_no(host.reachable),
            number(host.version),
            number(host.incarnation),
            role(host.role).to_owned(),
            yes_or_no(host.ready),
        ]);
    }
    say(&table.lines());
    Ok(())
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn role(role: api::Role) -> &'static str {
    match role {
        api::Role::Leader => "leader",
        api::Role::Voter => "voter",
        api::Role::Learner => "learner",
        api::Role::Follower => "follower",
    }
}

async fn accounts(client: &Client, json: bool) -> Result<(), End> {
    let accounts = client.accounts().await;
    let accounts = accounts.map_err(|error| End::failed(error.to_string()))?;
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
        table.row(vec![
            account.account.to_string(),
            account.pool.to_string(),
            account.share.to_string(),
            account.waiting.to_string(),
            account.in_flight.to_string(),
            account.service.to_string(),
            account.normalised_service.to_string(),
        ]);
    }
    say(&table.lines());
    Ok(())
}

async fn counters(client: &Client, json: bool) -> Result<(), End> {
    let counters = client.counters().await;
    let counters = counters.map_err(|error| End::failed(error.to_string()))?;
    if json {
        print_json(&counters);
        return Ok(());
    }
    let mut table = Table::new(&["COUNTER", counters.host.as_str()]);
    for counter in &counters.counters {
        table.row(vec![counter.name.clone(), counter.value.to_string()]);
    }
    say(&table.lines());
    Ok(())
}
