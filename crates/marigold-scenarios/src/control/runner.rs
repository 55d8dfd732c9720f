//! Runs the commands of control-plane scenarios.

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use goldenscript::{Context, Runner};
use marigold_config::{Config, ConfirmOutcome, LogReader, PlanId, Record, SignedPlan, State};
use marigold_control::{ControlOptions, Event, Message};
use marigold_log::StreamName;
use marigold_types::{Address, Digest, Interval, LogOffset, SlotCount, Version};

use super::change::parse_change;
use super::render::{self, parse_centres};
use super::{ControlCommand, InvariantChecker, Mesh, Operator};

/// The name of the mesh's root operator.
const ROOT: &str = "root";
/// The simulated time between two checks of the invariants.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The number of daemons, in the order of their start, that all daemons use as seeds.
const SEED_COUNT: usize = 2;
/// The maximum number of records per read of the log.
const READ_LIMIT: usize = 1_000;

type CommandResult = Result<String, Box<dyn Error>>;

/// Runs the commands of one scenario on a simulated mesh.
pub struct ControlRunner {
    mesh: Mesh,
    invariants: InvariantChecker,
    names: BTreeMap<Address, String>,
    operators: BTreeMap<String, Operator>,
    plans: BTreeMap<String, SignedPlan>,
    confirmations: BTreeMap<(String, String), Record>,
    reader: LogReader,
}

impl ControlRunner {
    /// Creates a runner with an empty mesh; `seed` initializes its random number generator.
    #[must_use]
    pub fn new(options: ControlOptions, seed: u64) -> Self {
        let root = Operator::new(ROOT);
        let trust = root.trust();
        Self {
            mesh: Mesh::new(options, trust.clone(), seed),
            invariants: InvariantChecker::default(),
            names: BTreeMap::new(),
            operators: BTreeMap::from([(ROOT.to_owned(), root)]),
            plans: BTreeMap::new(),
            confirmations: BTreeMap::new(),
            reader: LogReader::new(trust),
        }
    }

    fn address(&self, name: &str) -> Result<Address, Box<dyn Error>> {
        let address = to_address(name)?;
        if !self.names.contains_key(&address) {
            return Err(format!("no daemon `{name}` was started").into());
        }
        Ok(address)
    }

    fn addresses(&self, names: &[String]) -> Result<Vec<Address>, Box<dyn Error>> {
        names.iter().map(|name| self.address(name)).collect()
    }

    /// Calls `step` for each of the daemons.
    fn for_each_daemon(&mut self, names: &[String], step: fn(&mut Mesh, Address)) -> CommandResult {
        for address in self.addresses(names)? {
            step(&mut self.mesh, address);
        }
        Ok(String::new())
    }

    fn start(
        &mut self,
        names: &[String],
        dc: &str,
        region: &str,
        service: Option<&String>,
    ) -> CommandResult {
        for name in names {
            let address = to_address(name)?;
            if self.mesh.seeds.len() < SEED_COUNT {
                self.mesh.seeds.push(address);
            }
            self.names.insert(address, name.clone());
        }
        for name in names {
            self.mesh
                .start(to_address(name)?, &dc.parse()?, &region.parse()?);
        }
        match service {
            Some(service) => self.announce(names, service, true),
            None => Ok(String::new()),
        }
    }

    fn announce(&mut self, names: &[String], service: &str, healthy: bool) -> CommandResult {
        let announcement = Event::Announced {
            service: service.parse()?,
            slots: SlotCount(4),
            healthy,
        };
        for address in self.addresses(names)? {
            self.mesh.handle(address, &announcement);
        }
        Ok(String::new())
    }

    fn set_log_state(&mut self, state: &str) -> CommandResult {
        match state {
            "down" => self.mesh.log.down = true,
            "up" => self.mesh.log.down = false,
            "loses-answers" => self.mesh.log.loses_answers = true,
            "keeps-answers" => self.mesh.log.loses_answers = false,
            _ => return Err(format!("the log cannot be `{state}`").into()),
        }
        Ok(String::new())
    }

    fn drop_kinds(&mut self, name: &str, kinds: &[String]) -> CommandResult {
        let address = self.address(name)?;
        let all_kinds = ["delta", "whole", "gossip", "answer", "probe"];
        let kinds = all_kinds
            .into_iter()
            .filter(|kind| kinds.iter().any(|k| k == kind));
        self.mesh.dropped_kinds.insert(address, kinds.collect());
        Ok(String::new())
    }

    fn advance(&mut self, time: Duration) -> Result<(), Box<dyn Error>> {
        let end = self.mesh.now + time;
        while self.mesh.now < end {
            self.mesh.advance(CHECK_INTERVAL.min(end - self.mesh.now));
            self.invariants.check(&self.mesh)?;
        }
        Ok(())
    }

    fn converge(&mut self, within: Duration) -> CommandResult {
        let started_at = self.mesh.now;
        let newest = self.read_log()?.config().version;
        loop {
            let done = self.mesh.planes().all(|plane| {
                let view = plane.view();
                view.serving && view.config.version >= newest
            });
            if done {
                return Ok(format!("version {newest} is in force within the bound\n"));
            }
            if self.mesh.now - started_at >= within {
                return Err(format!("version {newest} is not in force everywhere").into());
            }
            self.advance(CHECK_INTERVAL)?;
        }
    }

    /// Reads the log to its end and returns the resulting state.
    fn read_log(&mut self) -> Result<&State, Box<dyn Error>> {
        loop {
            let from = self.reader.next();
            match self.mesh.log.read(StreamName::Config, from, READ_LIMIT) {
                Ok(batch) => drop(self.reader.apply_batch(&batch)),
                Err(error) => match error.failure {
                    marigold_log::LogFailure::Trimmed { earliest } => {
                        self.reader.apply_trim(earliest);
                    }
                    _ => return Err(error.into()),
                },
            }
            if self.reader.is_caught_up() || self.reader.is_missing_base() {
                return Ok(self.reader.state());
            }
        }
    }

    fn plan(&mut self, name: &str, changes: &[String], by: &str) -> CommandResult {
        let base: Arc<Config> = self.read_log()?.config();
        let operators = &self.operators;
        let key_of = |name: &str| operators.get(name).map(Operator::public);
        let changes: Result<Vec<_>, _> = changes.iter().map(|c| parse_change(c, &key_of)).collect();
        let time = self.mesh.time();
        let author = operators.get(by).ok_or("no such operator")?;
        let plan = author.plan(&base, changes?, time);
        let checked = self.reader.state().check_plan(&plan, time);
        if let Err(reason) = checked {
            return Ok(format!("refused: {reason}\n"));
        }
        let count = plan.plan.changes.len();
        let text = Record::Plan(plan.clone()).to_string();
        let appended = self.mesh.log.append(StreamName::Config, text, time);
        self.plans.insert(name.to_owned(), plan);
        let stored = if appended.is_ok() {
            ""
        } else {
            ", not known to be stored"
        };
        Ok(format!(
            "{count} changes to version {}{stored}\n",
            base.version
        ))
    }

    /// Appends a confirmation to the log; a repeat appends the same record again.
    fn confirm(&mut self, name: &str, by: &str) -> CommandResult {
        let plan = self.plans.get(name).ok_or("no such plan")?.clone();
        let time = self.mesh.time();
        let operator = self.operators.get_mut(by).ok_or("no such operator")?;
        let key = (name.to_owned(), by.to_owned());
        let confirmation = self.confirmations.entry(key);
        let record = confirmation.or_insert_with(|| operator.confirm(&plan, time));
        let text = record.to_string();
        match self.mesh.log.append(StreamName::Config, text, time) {
            Ok(offset) => self.show_verdict(offset, plan.plan.id()),
            Err(error) => Ok(format!("not known: {error}\n")),
        }
    }

    fn show_verdict(&mut self, offset: LogOffset, id: PlanId) -> CommandResult {
        self.read_log()?;
        if let Some(outcome) = self.reader.state().find_outcome(&id) {
            return Ok(format_outcome(outcome));
        }
        let history = self.reader.state().history();
        let entry = history.entries().find(|entry| entry.offset == offset);
        let text = entry.map(|entry| format_outcome(&entry.outcome));
        Ok(text.unwrap_or_else(|| "refused: not authentic\n".to_owned()))
    }

    fn verdict(&mut self, name: &str) -> CommandResult {
        let id = self.plans.get(name).ok_or("no such plan")?.plan.id();
        match self.read_log() {
            Ok(state) => {
                let text = state.find_outcome(&id).map(format_outcome);
                Ok(text.unwrap_or_else(|| "not confirmed\n".to_owned()))
            }
            Err(error) => Ok(format!("not known: {error}\n")),
        }
    }

    fn replay_config(&mut self, to: &str, from: &str, back: usize) -> CommandResult {
        let (to, from) = (self.address(to)?, self.address(from)?);
        let previous = &self.mesh.plane(from).state().previous_configs;
        let index = previous.len().checked_sub(back).ok_or("too far back")?;
        let config = previous[index].as_ref().clone();
        let digest = config.digest().prefix();
        let message = Message::Whole { config, digest }.encode();
        self.mesh.handle(to, &Event::Received { from, message });
        self.invariants.check(&self.mesh)?;
        Ok(String::new())
    }

    fn send_faulty_delta(&mut self, to: &str, from: &str, fault: &str) -> CommandResult {
        let (to, from) = (self.address(to)?, self.address(from)?);
        let current = self.mesh.plane(to).config();
        let next = Version(current.version.0 + 1);
        let change = match fault {
            "service" => "route lost /lost nowhere",
            "digest" => "service other",
            _ => return Err(format!("no fault `{fault}`").into()),
        };
        let change = parse_change(change, &|_| None)?;
        let mut delta = current.delta_to(&current.with_changes(&[change], next));
        if fault == "digest" {
            delta.digest = Digest::of(b"other");
        }
        let message = Message::Delta { delta }.encode();
        self.mesh.handle(to, &Event::Received { from, message });
        self.invariants.check(&self.mesh)?;
        let refused = self.mesh.plane(to).counters().refused;
        Ok(format!("{refused} refused\n"))
    }

    fn show(&self, names: &[String]) -> CommandResult {
        let addresses = if names.is_empty() {
            self.names.keys().copied().collect()
        } else {
            self.addresses(names)?
        };
        Ok(render::show(&self.mesh, &addresses, &self.names))
    }

    fn status(&self, name: &str) -> CommandResult {
        let status = self.mesh.plane(self.address(name)?).status(self.mesh.now);
        Ok(render::status(&status, &self.names))
    }
}

impl Runner for ControlRunner {
    type Command = ControlCommand;

    fn run(&mut self, command: &Self::Command, _: &Context) -> CommandResult {
        use ControlCommand as C;
        match command {
            C::Start {
                names,
                dc,
                region,
                service,
            } => self.start(names, dc, region, service.as_ref()),
            C::Announce {
                names,
                service,
                healthy,
            } => self.announce(names, service, *healthy),
            C::Drain { names } => {
                self.for_each_daemon(names, |mesh, at| mesh.handle(at, &Event::Draining))
            }
            C::Crash { names } => self.for_each_daemon(names, Mesh::crash),
            C::Restart { names } => self.for_each_daemon(names, Mesh::restart),
            C::Pause { names } => self.for_each_daemon(names, Mesh::pause),
            C::Resume { names } => self.for_each_daemon(names, Mesh::resume),
            C::Cut { centres } => {
                let group = parse_centres(centres)?;
                self.mesh
                    .data_centre_partitions
                    .push(group.into_iter().collect());
                Ok(String::new())
            }
            C::Split { names } => {
                let group = self.addresses(names)?;
                self.mesh
                    .daemon_partitions
                    .push(group.into_iter().collect());
                Ok(String::new())
            }
            C::Heal => {
                self.mesh.data_centre_partitions.clear();
                self.mesh.daemon_partitions.clear();
                Ok(String::new())
            }
            C::Log { change } => self.set_log_state(change),
            C::Trim { keep } => {
                let end = self.mesh.log.end(StreamName::Config);
                let earliest = LogOffset(end.0.saturating_sub(*keep));
                self.mesh.log.trim(StreamName::Config, earliest);
                Ok(String::new())
            }
            C::Loss { million } => {
                self.mesh.lost_per_million = *million;
                Ok(String::new())
            }
            C::Deaf { name, kinds } => self.drop_kinds(name, kinds),
            C::Operator { name } => {
                self.operators.insert(name.clone(), Operator::new(name));
                Ok(String::new())
            }
            C::Plan { name, changes, by } => {
                self.plan(name, changes, by.as_deref().unwrap_or(ROOT))
            }
            C::Confirm { name, by } => self.confirm(name, by.as_deref().unwrap_or(ROOT)),
            C::Verdict { name } => self.verdict(name),
            C::Replay { to, from, back } => self.replay_config(to, from, *back),
            C::Garble { to, from, fault } => self.send_faulty_delta(to, from, fault),
            C::Advance { time } => {
                self.advance(parse_time(time)?)?;
                Ok(String::new())
            }
            C::Converge { within } => self.converge(parse_time(within)?),
            C::Show { names } => self.show(names),
            C::Status { name } => self.status(name),
        }
    }
}

/// Returns the address of the daemon called `name`.
fn to_address(name: &str) -> Result<Address, Box<dyn Error>> {
    let number: Option<u8> = name.strip_prefix('d').and_then(|n| n.parse().ok());
    let number = number.ok_or_else(|| format!("`{name}` is no daemon, as d1"))?;
    Ok(format!("10.0.0.{number}:7000").parse()?)
}

fn parse_time(text: &str) -> Result<Duration, Box<dyn Error>> {
    Ok(text.parse::<Interval>()?.duration())
}

fn format_outcome(outcome: &ConfirmOutcome) -> String {
    match outcome {
        ConfirmOutcome::Accepted { version } => format!("accepted as version {version}\n"),
        ConfirmOutcome::Rejected { reason } => format!("refused: {reason}\n"),
    }
}
