//! Runs the scenarios of the request side.

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use goldenscript::{Context, Runner};
use marigold_auth::MeshKey;
use marigold_config::{Declaration, Limit, Objective, Resource, Route};
use marigold_control::EndpointState;
use marigold_request::at_most_once::RequestKey;
use marigold_request::burn::BurnReport;
use marigold_request::deadline::Deadline;
use marigold_request::{CallHead, Refusal, RefusalReason, WitnessAnswer};
use marigold_types::{Interval, Rate, RequestId, SlotCount};

use super::RequestCommand;
use super::call::Call;
use super::mesh::{Mesh, desk};
use super::message::{NodeId, Ran, Request};
use super::node::Process;
use super::server::Mode;

/// How soon a leaving daemon is seen as such by all.
const ANNOUNCE: Duration = Duration::from_millis(500);
const SLOTS: u32 = 2;

type Outcome = Result<String, Box<dyn Error>>;

/// Holds a few daemons and what the scenario has made so far.
pub struct RequestRunner {
    mesh: Mesh,
    secret: MeshKey,
    keys: BTreeMap<String, Arc<str>>,
    loads: u32,
}

impl Default for RequestRunner {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestRunner {
    /// Makes a runner with no daemon yet.
    #[must_use]
    pub fn new() -> Self {
        let mut mesh = Mesh::new();
        let objective = Objective {
            availability: 990_000,
            fast: 900_000,
            latency: Interval::from_millis(200),
            window: Interval::from_millis(86_400_000),
        };
        mesh.declare(
            Resource::Objective(desk()),
            Declaration::Objective(objective),
        );
        Self {
            mesh,
            secret: MeshKey::new([7; 32]),
            keys: BTreeMap::new(),
            loads: 0,
        }
    }

    fn node(&self, name: &str) -> Result<NodeId, Box<dyn Error>> {
        let number = name
            .strip_prefix('d')
            .and_then(|number| number.parse::<usize>().ok());
        let id = number.and_then(|number| number.checked_sub(1));
        id.filter(|id| *id < self.mesh.nodes.len())
            .ok_or_else(|| format!("no daemon `{name}` was started").into())
    }

    fn nodes(&self, names: &[String]) -> Result<Vec<NodeId>, Box<dyn Error>> {
        names.iter().map(|name| self.node(name)).collect()
    }

    fn start(&mut self, names: &[String], dc: &str, slots: Option<u32>) -> Outcome {
        for name in names {
            let expected = format!("d{}", self.mesh.nodes.len() + 1);
            if *name != expected {
                return Err(format!("the next daemon is `{expected}`").into());
            }
            self.mesh
                .start(&dc.parse()?, SlotCount(slots.unwrap_or(SLOTS)));
        }
        Ok(String::new())
    }

    fn set_server(
        &mut self,
        names: &[String],
        time: Option<Interval>,
        mode: Option<&str>,
    ) -> Outcome {
        for id in self.nodes(names)? {
            let server = &mut self.mesh.nodes[id].server;
            server.time = time.map_or(server.time, Interval::duration);
            server.mode = match mode {
                None => server.mode,
                Some("works") => Mode::Works,
                Some("fails") => Mode::Fails,
                Some("cut") => Mode::Cut,
                Some(other) => return Err(format!("no mode `{other}`").into()),
            };
        }
        Ok(String::new())
    }

    /// Makes a key, asking the witness as a daemon does.
    fn make_key(&mut self, name: &str, at: &str, executor: &str, witness: &str) -> Outcome {
        let (at, executor) = (
            self.node(at)?,
            self.mesh.nodes[self.node(executor)?].instance,
        );
        let place = self.node(witness)?;
        let now = self.mesh.now;
        let witness = self.mesh.nodes[place].instance;
        let answer = self.mesh.nodes[place].witness.reserve(1, now);
        let WitnessAnswer::Reserved { uptime } = answer else {
            return Err("the witness is full".into());
        };
        let node = &mut self.mesh.nodes[at];
        node.mint.record_reservation(witness, uptime, now);
        let rng = &mut node.rng;
        let text = node
            .mint
            .mint(executor, witness, &desk(), &self.secret, rng, now);
        self.keys
            .insert(name.to_owned(), text.ok_or("no key was made")?);
        Ok(String::new())
    }

    fn call(
        &mut self,
        name: &str,
        route: &str,
        at: &str,
        key: Option<&str>,
        body: &str,
    ) -> Outcome {
        let declared = self
            .mesh
            .route(route)
            .ok_or_else(|| format!("no route `{route}`"))?;
        let at = self.node(at)?;
        let text = match key {
            Some(key) => Some(
                self.keys
                    .get(key)
                    .ok_or_else(|| format!("no key `{key}`"))?
                    .clone(),
            ),
            None => None,
        };
        let opened = text
            .as_ref()
            .map(|text| RequestKey::decode_for(text, &desk(), &self.secret));
        let deadline = Deadline::new(declared.deadline, None, self.mesh.now);
        let head = CallHead {
            id: RequestId::random(),
            route: route.parse()?,
            service: desk(),
            class: declared.class,
            idempotent: declared.idempotent,
            left: declared.deadline,
            depth: 0,
            attempt: 0,
            caller: None,
            key: text,
            method: Arc::from("POST"),
            target: Arc::from(format!("/{route}")),
            headers: Vec::new(),
        };
        let request = Request {
            // All sends under one key are one request to the watch.
            name: Arc::from(key.unwrap_or(name)),
            head,
            key: opened.clone().and_then(Result::ok),
            body: Arc::from(body),
        };
        let call = Call {
            request,
            at,
            begun: self.mesh.now,
            deadline,
            attempt: None,
            number: 0,
            tried: Vec::new(),
            sealing: None,
            lost: None,
            refused: None,
            is_suspect: false,
            told: None,
        };
        let name: Arc<str> = Arc::from(name);
        if self.mesh.nodes[at].process != Process::Up {
            return Err(format!("d{} takes no connection", at + 1).into());
        }
        if let Some(Err(_)) = opened {
            self.mesh.calls.insert(Arc::clone(&name), call);
            let refusal = Refusal::permanent(RefusalReason::KeyInvalid);
            self.mesh.tell(&name, &Ran::NotRun(refusal));
        } else {
            self.mesh.take_call(&name, call);
        }
        Ok(String::new())
    }

    /// Sends a load and prints how it ended, by outcome.
    fn load(&mut self, route: &str, at: &str, rate: u64, time: Interval) -> Outcome {
        self.loads += 1;
        let gap = Duration::from_secs(1) / u32::try_from(rate)?;
        let count = time.duration().as_nanos() / gap.as_nanos();
        let prefix = format!("load{}-", self.loads);
        let mut shown = Vec::new();
        for number in 0..count {
            let name = format!("{prefix}{number}");
            self.call(&name, route, at, None, &name)?;
            self.mesh.advance(gap)?;
            self.mesh.lines.retain(|line| !line.starts_with(&prefix));
            shown.append(&mut self.mesh.lines);
        }
        self.mesh.advance(Duration::from_secs(5))?;
        self.mesh.lines.retain(|line| !line.starts_with(&prefix));
        shown.append(&mut self.mesh.lines);
        let mut ends: BTreeMap<String, u64> = BTreeMap::new();
        for (name, call) in &self.mesh.calls {
            if name.starts_with(&prefix) {
                let end = call.told.as_ref().map_or("no word".to_owned(), |told| {
                    let reason = told.refusal.map(|refusal| format!(" ({})", refusal.reason));
                    format!("{}{}", told.outcome, reason.unwrap_or_default())
                });
                *ends.entry(end).or_default() += 1;
            }
        }
        shown.extend(ends.iter().map(|(end, count)| format!("{count} {end}")));
        Ok(shown.join("\n"))
    }

    fn leave(&mut self, names: &[String]) -> Outcome {
        for name in names {
            let name: Arc<str> = Arc::from(name.as_str());
            if !self.mesh.calls.contains_key(&name) {
                return Err(format!("no request `{name}`").into());
            }
            self.mesh.tell(&name, &Ran::Unknown("caller left"));
        }
        Ok(String::new())
    }

    fn change_process(&mut self, names: &[String], change: fn(&mut Mesh, NodeId)) -> Outcome {
        for id in self.nodes(names)? {
            change(&mut self.mesh, id);
        }
        Ok(std::mem::take(&mut self.mesh.lines).join("\n"))
    }

    fn term(&mut self, names: &[String]) -> Outcome {
        for id in self.nodes(names)? {
            let now = self.mesh.now;
            let phase = self.mesh.nodes[id].drain.signal(now);
            if let marigold_request::drain::Phase::Exit(code) = phase {
                let line = format!("d{} exits with code {}", id + 1, code.code());
                self.mesh.lines.push(line);
                self.mesh.stop(id);
            } else {
                self.mesh.advance(ANNOUNCE)?;
                self.mesh.seen.insert(id, EndpointState::Draining);
                self.mesh.publish();
            }
        }
        Ok(std::mem::take(&mut self.mesh.lines).join("\n"))
    }

    fn see(&mut self, names: &[String], state: &str) -> Outcome {
        for id in self.nodes(names)? {
            match state {
                "ready" => drop(self.mesh.seen.insert(id, EndpointState::Ready)),
                "suspect" => drop(self.mesh.seen.insert(id, EndpointState::Suspect)),
                "gone" => drop(self.mesh.seen.remove(&id)),
                other => return Err(format!("no state `{other}`").into()),
            }
        }
        self.mesh.publish();
        Ok(String::new())
    }

    fn change_links(&mut self, command: &RequestCommand) -> Outcome {
        use RequestCommand as C;
        match command {
            C::Cut { names } => {
                let ids = self.nodes(names)?;
                self.mesh.links.cut(&ids);
            }
            C::Mute { one, other } => {
                let (one, other) = (self.node(one)?, self.node(other)?);
                self.mesh.links.mute(one, other);
            }
            C::Repeat { kind, from, to } => {
                let wanted = (kind.clone(), self.node(from)?, self.node(to)?);
                self.mesh.repeats.push(wanted);
            }
            _ => self.mesh.links.heal(),
        }
        Ok(String::new())
    }

    fn runs(&self) -> String {
        let line = |(name, at): (&Arc<str>, &Vec<Arc<str>>)| format!("{name}: {}", at.join(" "));
        let runs = self
            .mesh
            .watch
            .runs
            .iter()
            .filter(|(name, _)| !name.starts_with("load"));
        runs.map(line).collect::<Vec<_>>().join("\n")
    }

    fn burn(&mut self) -> String {
        let mut report = BurnReport::default();
        for node in &mut self.mesh.nodes {
            if node.process == Process::Up {
                report.merge(&node.burn.report(self.mesh.now));
            } else {
                report.add_missing();
            }
        }
        let mut lines = vec![format!(
            "{} daemons, {} missing",
            report.daemons, report.missing
        )];
        for burn in &report.services {
            let left = burn.availability_left();
            let left = left.map_or("no traffic".to_owned(), |left| {
                format!("{:.0} % left", left * 100.0)
            });
            let partial = if burn.is_partial() {
                ", since a restart only"
            } else {
                ""
            };
            let cause = burn
                .main_cause()
                .map(|count| format!(", mostly {}", count.cause));
            lines.push(format!(
                "{}: {left}{partial}{}",
                burn.service,
                cause.unwrap_or_default()
            ));
        }
        lines.join("\n")
    }
}

impl Runner for RequestRunner {
    type Command = RequestCommand;

    fn run(&mut self, command: &RequestCommand, _: &Context) -> Outcome {
        use RequestCommand as C;
        match command {
            C::Start { names, dc, slots } => self.start(names, dc, *slots),
            C::Route {
                name,
                class,
                idempotent,
                deadline,
            } => {
                let route = Route {
                    path: Arc::from(format!("/{name}")),
                    service: desk(),
                    class: *class,
                    idempotent: *idempotent,
                    deadline: *deadline,
                };
                self.mesh
                    .declare(Resource::Route(name.parse()?), Declaration::Route(route));
                Ok(String::new())
            }
            C::Limit { name, rate } => {
                let limit = Limit {
                    service: desk(),
                    caller: None,
                    rate: Rate(*rate),
                };
                self.mesh.declare(
                    Resource::Limit(Arc::from(name.as_str())),
                    Declaration::Limit(limit),
                );
                Ok(String::new())
            }
            C::Server { names, time, mode } => self.set_server(names, *time, mode.as_deref()),
            C::Key {
                name,
                at,
                executor,
                witness,
            } => self.make_key(name, at, executor, witness),
            C::Forge { name } => {
                let text = self.keys.get_mut(name).ok_or("no such key")?;
                *text = Arc::from(format!("{text}A"));
                Ok(String::new())
            }
            C::Call {
                names,
                route,
                at,
                key,
                body,
            } => {
                for name in names {
                    let body = body.as_deref().unwrap_or(key.as_deref().unwrap_or(name));
                    self.call(name, route, at, key.as_deref(), body)?;
                }
                Ok(String::new())
            }
            C::Load {
                route,
                at,
                rate,
                time,
            } => self.load(route, at, *rate, *time),
            C::Leave { names } => self.leave(names),
            C::Crash { names } => self.change_process(names, Mesh::stop),
            C::Restart { names } => self.change_process(names, Mesh::restart),
            C::Pause { names } => self.change_process(names, |mesh, id| {
                mesh.nodes[id].process = Process::Paused;
            }),
            C::Resume { names } => self.change_process(names, |mesh, id| {
                mesh.nodes[id].process = Process::Up;
            }),
            C::Term { names } => self.term(names),
            C::Cut { .. } | C::Heal | C::Mute { .. } | C::Repeat { .. } => {
                self.change_links(command)
            }
            C::See { names, state } => self.see(names, state),
            C::Advance { time } => {
                self.mesh.advance(time.duration())?;
                Ok(std::mem::take(&mut self.mesh.lines).join("\n"))
            }
            C::Runs => Ok(self.runs()),
            C::Crashes => Ok(format!("{} backend servers crashed", self.mesh.crashes)),
            C::Burn => Ok(self.burn()),
        }
    }
}
