//! Runs the scenarios of the control side.

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use goldenscript::{Context, Runner};
use marigold_config::{Config, LogReader, PlanId, Record, SignedPlan, State, Verdict};
use marigold_control::{ControlOptions, Event, Message};
use marigold_log::StreamName;
use marigold_types::{Address, Digest, Interval, LogOffset, SlotCount, Version};

use super::change::parse_change;
use super::render::{self, parse_centres};
use super::{ControlCommand, InvariantChecker, Mesh, Operator};

/// The operator that every daemon trusts.
const ROOT: &str = "root";
/// How often the promises are checked.
const STEP: Duration = Duration::from_millis(100);
/// How many daemons, in the order of their start, are every daemon's seeds.
const SEEDS: usize = 2;
/// The most records that one read of the log gives.
const READ_LIMIT: usize = 1_000;

type Outcome = Result<String, Box<dyn Error>>;

/// Holds a few control planes and what the scenario has made so far.
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
    /// Makes a runner whose random numbers start from `seed`.
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

    /// Does the same with each daemon.
    fn each(&mut self, names: &[String], step: fn(&mut Mesh, Address)) -> Outcome {
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
    ) -> Outcome {
        for name in names {
            let address = to_address(name)?;
            if self.mesh.seeds.len() < SEEDS {
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

    fn announce(&mut self, names: &[String], service: &str, healthy: bool) -> Outcome {
        let announced = Event::Announced {
            service: service.parse()?,
            slots: SlotCount(4),
            healthy,
        };
        for address in self.addresses(names)? {
            self.mesh.handle(address, &announced);
        }
        Ok(String::new())
    }

    fn change_log(&mut self, change: &str) -> Outcome {
        match change {
            "down" => self.mesh.log.down = true,
            "up" => self.mesh.log.down = false,
            "loses-answers" => self.mesh.log.loses_answers = true,
            "keeps-answers" => self.mesh.log.loses_answers = false,
            _ => return Err(format!("the log cannot be `{change}`").into()),
        }
        Ok(String::new())
    }

    fn deafen(&mut self, name: &str, kinds: &[String]) -> Outcome {
        let address = self.address(name)?;
        let known = ["delta", "whole", "gossip", "answer", "probe"];
        let kinds = known
            .into_iter()
            .filter(|kind| kinds.iter().any(|k| k == kind));
        self.mesh.dropped_kinds.insert(address, kinds.collect());
        Ok(String::new())
    }

    fn advance(&mut self, time: Duration) -> Result<(), Box<dyn Error>> {
        let end = self.mesh.now + time;
        while self.mesh.now < end {
            self.mesh.advance(STEP.min(end - self.mesh.now));
            self.invariants.check(&self.mesh)?;
        }
        Ok(())
    }

    fn converge(&mut self, within: Duration) -> Outcome {
        let began = self.mesh.now;
        let want = self.read_log()?.config().version;
        loop {
            let done = self.mesh.planes().all(|plane| {
                let view = plane.view();
                view.serving && view.config.version >= want
            });
            if done {
                return Ok(format!("version {want} is in force within the bound\n"));
            }
            if self.mesh.now - began >= within {
                return Err(format!("version {want} is not in force everywhere").into());
            }
            self.advance(STEP)?;
        }
    }

    /// Reads the log as any daemon would.
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

    fn plan(&mut self, name: &str, changes: &[String], by: &str) -> Outcome {
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

    /// Appends the confirmation; a repeat appends the same record again.
    fn confirm(&mut self, name: &str, by: &str) -> Outcome {
        let plan = self.plans.get(name).ok_or("no such plan")?.clone();
        let time = self.mesh.time();
        let operator = self.operators.get_mut(by).ok_or("no such operator")?;
        let key = (name.to_owned(), by.to_owned());
        let made = self.confirmations.entry(key);
        let record = made.or_insert_with(|| operator.confirm(&plan, time));
        let text = record.to_string();
        match self.mesh.log.append(StreamName::Config, text, time) {
            Ok(offset) => self.verdict_at(offset, plan.plan.id()),
            Err(error) => Ok(format!("not known: {error}\n")),
        }
    }

    fn verdict_at(&mut self, offset: LogOffset, id: PlanId) -> Outcome {
        self.read_log()?;
        if let Some(verdict) = self.reader.state().find_verdict(&id) {
            return Ok(display(verdict));
        }
        let history = self.reader.state().history();
        let entry = history.entries().find(|entry| entry.offset == offset);
        let text = entry.map(|entry| display(&entry.verdict));
        Ok(text.unwrap_or_else(|| "refused: not authentic\n".to_owned()))
    }

    fn verdict(&mut self, name: &str) -> Outcome {
        let id = self.plans.get(name).ok_or("no such plan")?.plan.id();
        match self.read_log() {
            Ok(state) => {
                let verdict = state.find_verdict(&id).map(display);
                Ok(verdict.unwrap_or_else(|| "not confirmed\n".to_owned()))
            }
            Err(error) => Ok(format!("not known: {error}\n")),
        }
    }

    fn replay(&mut self, to: &str, from: &str, back: usize) -> Outcome {
        let (to, from) = (self.address(to)?, self.address(from)?);
        let past = &self.mesh.plane(from).state().previous_configs;
        let place = past.len().checked_sub(back).ok_or("too far back")?;
        let config = past[place].as_ref().clone();
        let digest = config.digest().prefix();
        let message = Message::Whole { config, digest }.encode();
        self.mesh.handle(to, &Event::Received { from, message });
        self.invariants.check(&self.mesh)?;
        Ok(String::new())
    }

    fn garble(&mut self, to: &str, from: &str, fault: &str) -> Outcome {
        let (to, from) = (self.address(to)?, self.address(from)?);
        let held = self.mesh.plane(to).config();
        let next = Version(held.version.0 + 1);
        let change = match fault {
            "service" => "route lost /lost nowhere",
            "digest" => "service other",
            _ => return Err(format!("no fault `{fault}`").into()),
        };
        let change = parse_change(change, &|_| None)?;
        let mut delta = held.delta_to(&held.with_changes(&[change], next));
        if fault == "digest" {
            delta.digest = Digest::of(b"other");
        }
        let message = Message::Delta { delta }.encode();
        self.mesh.handle(to, &Event::Received { from, message });
        self.invariants.check(&self.mesh)?;
        let refused = self.mesh.plane(to).counters().refused;
        Ok(format!("{refused} refused\n"))
    }

    fn show(&self, names: &[String]) -> Outcome {
        let addresses = if names.is_empty() {
            self.names.keys().copied().collect()
        } else {
            self.addresses(names)?
        };
        Ok(render::show(&self.mesh, &addresses, &self.names))
    }

    fn status(&self, name: &str) -> Outcome {
        let status = self.mesh.plane(self.address(name)?).status(self.mesh.now);
        Ok(render::status(&status, &self.names))
    }
}

impl Runner for ControlRunner {
    type Command = ControlCommand;

    fn run(&mut self, command: &Self::Command, _: &Context) -> Outcome {
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
            C::Drain { names } => self.each(names, |mesh, at| mesh.handle(at, &Event::Draining)),
            C::Crash { names } => self.each(names, Mesh::crash),
            C::Restart { names } => self.each(names, Mesh::restart),
            C::Pause { names } => self.each(names, Mesh::pause),
            C::Resume { names } => self.each(names, Mesh::resume),
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
            C::Log { change } => self.change_log(change),
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
            C::Deaf { name, kinds } => self.deafen(name, kinds),
            C::Operator { name } => {
                self.operators.insert(name.clone(), Operator::new(name));
                Ok(String::new())
            }
            C::Plan { name, changes, by } => {
                self.plan(name, changes, by.as_deref().unwrap_or(ROOT))
            }
            C::Confirm { name, by } => self.confirm(name, by.as_deref().unwrap_or(ROOT)),
            C::Verdict { name } => self.verdict(name),
            C::Replay { to, from, back } => self.replay(to, from, *back),
            C::Garble { to, from, fault } => self.garble(to, from, fault),
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

/// Returns where the daemon with that name listens.
fn to_address(name: &str) -> Result<Address, Box<dyn Error>> {
    let number: Option<u8> = name.strip_prefix('d').and_then(|n| n.parse().ok());
    let number = number.ok_or_else(|| format!("`{name}` is no daemon, as d1"))?;
    Ok(format!("10.0.0.{number}:7000").parse()?)
}

fn parse_time(text: &str) -> Result<Duration, Box<dyn Error>> {
    Ok(text.parse::<Interval>()?.duration())
}

fn display(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { version } => format!("accepted as version {version}\n"),
        Verdict::Rejected { reason } => format!("refused: {reason}\n"),
    }
}
