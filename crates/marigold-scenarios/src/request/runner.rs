//! Runs the commands of request scenarios.

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
use super::mesh::{Mesh, desk_service};
use super::message::{AttemptResult, NodeId, Request};
use super::node::Process;
use super::server::ServerMode;

/// The time until all daemons know that a daemon is leaving.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(500);
const DEFAULT_SLOTS: u32 = 2;

type CommandResult = Result<String, Box<dyn Error>>;

/// Runs the commands of one scenario on a simulated mesh.
pub struct RequestRunner {
    mesh: Mesh,
    mesh_key: MeshKey,
    keys: BTreeMap<String, Arc<str>>,
    load_count: u32,
}

impl Default for RequestRunner {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestRunner {
    /// Creates a runner with an empty mesh.
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
            Resource::Objective(desk_service()),
            Declaration::Objective(objective),
        );
        Self {
            mesh,
            mesh_key: MeshKey::new([7; 32]),
            keys: BTreeMap::new(),
            load_count: 0,
        }
    }

    fn node_id(&self, name: &str) -> Result<NodeId, Box<dyn Error>> {
        let number = name
            .strip_prefix('d')
            .and_then(|number| number.parse::<usize>().ok());
        let id = number.and_then(|number| number.checked_sub(1));
        id.filter(|id| *id < self.mesh.nodes.len())
            .ok_or_else(|| format!("no daemon `{name}` was started").into())
    }

    fn node_ids(&self, names: &[String]) -> Result<Vec<NodeId>, Box<dyn Error>> {
        names.iter().map(|name| self.node_id(name)).collect()
    }

    fn start(&mut self, names: &[String], dc: &str, slots: Option<u32>) -> CommandResult {
        for name in names {
            let expected = format!("d{}", self.mesh.nodes.len() + 1);
            if *name != expected {
                return Err(format!("the next daemon is `{expected}`").into());
            }
            self.mesh
                .start(&dc.parse()?, SlotCount(slots.unwrap_or(DEFAULT_SLOTS)));
        }
        Ok(String::new())
    }

    fn configure_servers(
        &mut self,
        names: &[String],
        time: Option<Interval>,
        mode: Option<&str>,
    ) -> CommandResult {
        for id in self.node_ids(names)? {
            let server = &mut self.mesh.nodes[id].server;
            server.response_time = time.map_or(server.response_time, Interval::duration);
            server.mode = match mode {
                None => server.mode,
                Some("works") => ServerMode::Succeed,
                Some("fails") => ServerMode::Fail,
                Some("cut") => ServerMode::Truncate,
                Some(other) => return Err(format!("no mode `{other}`").into()),
            };
        }
        Ok(String::new())
    }

    /// Creates a key after a reservation at its witness, as a daemon does.
    fn create_key(&mut self, name: &str, at: &str, executor: &str, witness: &str) -> CommandResult {
        let (at, executor) = (
            self.node_id(at)?,
            self.mesh.nodes[self.node_id(executor)?].instance,
        );
        let witness_id = self.node_id(witness)?;
        let now = self.mesh.now;
        let witness = self.mesh.nodes[witness_id].instance;
        let answer = self.mesh.nodes[witness_id].witness_table.reserve(1, now);
        let WitnessAnswer::Reserved { uptime } = answer else {
            return Err("the witness is full".into());
        };
        let node = &mut self.mesh.nodes[at];
        node.mint.record_reservation(witness, uptime, now);
        let rng = &mut node.rng;
        let key_text = node
            .mint
            .mint(executor, witness, &desk_service(), &self.mesh_key, rng, now);
        self.keys
            .insert(name.to_owned(), key_text.ok_or("no key was made")?);
        Ok(String::new())
    }

    fn call(
        &mut self,
        name: &str,
        route: &str,
        at: &str,
        key: Option<&str>,
        body: &str,
    ) -> CommandResult {
        let declared = self
            .mesh
            .route(route)
            .ok_or_else(|| format!("no route `{route}`"))?;
        let at = self.node_id(at)?;
        let key_text = match key {
            Some(key) => Some(
                self.keys
                    .get(key)
                    .ok_or_else(|| format!("no key `{key}`"))?
                    .clone(),
            ),
            None => None,
        };
        let decoded_key = key_text
            .as_ref()
            .map(|key_text| RequestKey::decode_for(key_text, &desk_service(), &self.mesh_key));
        let deadline = Deadline::new(declared.deadline, None, self.mesh.now);
        let head = CallHead {
            id: RequestId::random(),
            route: route.parse()?,
            service: desk_service(),
            class: declared.class,
            idempotent: declared.idempotent,
            left: declared.deadline,
            depth: 0,
            attempt: 0,
            caller: None,
            key: key_text,
            method: Arc::from("POST"),
            target: Arc::from(format!("/{route}")),
            headers: Vec::new(),
        };
        let request = Request {
            // The invariant checker treats all calls with the same key as one request.
            name: Arc::from(key.unwrap_or(name)),
            head,
            key: decoded_key.clone().and_then(Result::ok),
            body: Arc::from(body),
        };
        let call = Call {
            request,
            at,
            started_at: self.mesh.now,
            deadline,
            attempt: None,
            attempt_number: 0,
            tried: Vec::new(),
            seal_reason: None,
            unknown_step: None,
            last_refusal: None,
            is_suspect: false,
            result: None,
        };
        let name: Arc<str> = Arc::from(name);
        if self.mesh.nodes[at].process != Process::Up {
            return Err(format!("d{} takes no connection", at + 1).into());
        }
        if let Some(Err(_)) = decoded_key {
            self.mesh.calls.insert(Arc::clone(&name), call);
            let refusal = Refusal::permanent(RefusalReason::KeyInvalid);
            self.mesh
                .report_result(&name, &AttemptResult::NotRun(refusal));
        } else {
            self.mesh.accept_call(&name, call);
        }
        Ok(String::new())
    }

    /// Sends requests at a fixed rate and shows the number of calls by outcome.
    fn load(&mut self, route: &str, at: &str, rate: u64, time: Interval) -> CommandResult {
        self.load_count += 1;
        let interval = Duration::from_secs(1) / u32::try_from(rate)?;
        let count = time.duration().as_nanos() / interval.as_nanos();
        let prefix = format!("load{}-", self.load_count);
        let mut output = Vec::new();
        for number in 0..count {
            let name = format!("{prefix}{number}");
            self.call(&name, route, at, None, &name)?;
            self.mesh.advance(interval)?;
            self.mesh.output.retain(|line| !line.starts_with(&prefix));
            output.append(&mut self.mesh.output);
        }
        self.mesh.advance(Duration::from_secs(5))?;
        self.mesh.output.retain(|line| !line.starts_with(&prefix));
        output.append(&mut self.mesh.output);
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for (name, call) in &self.mesh.calls {
            if name.starts_with(&prefix) {
                let outcome = call.result.as_ref().map_or("no word".to_owned(), |result| {
                    let reason = result
                        .refusal
                        .map(|refusal| format!(" ({})", refusal.reason));
                    format!("{}{}", result.outcome, reason.unwrap_or_default())
                });
                *counts.entry(outcome).or_default() += 1;
            }
        }
        output.extend(
            counts
                .iter()
                .map(|(outcome, count)| format!("{count} {outcome}")),
        );
        Ok(output.join("\n"))
    }

    fn disconnect_callers(&mut self, names: &[String]) -> CommandResult {
        for name in names {
            let name: Arc<str> = Arc::from(name.as_str());
            if !self.mesh.calls.contains_key(&name) {
                return Err(format!("no request `{name}`").into());
            }
            self.mesh
                .report_result(&name, &AttemptResult::Unknown("caller left"));
        }
        Ok(String::new())
    }

    fn change_process(&mut self, names: &[String], change: fn(&mut Mesh, NodeId)) -> CommandResult {
        for id in self.node_ids(names)? {
            change(&mut self.mesh, id);
        }
        Ok(std::mem::take(&mut self.mesh.output).join("\n"))
    }

    fn send_termination(&mut self, names: &[String]) -> CommandResult {
        for id in self.node_ids(names)? {
            let now = self.mesh.now;
            let phase = self.mesh.nodes[id].drain.signal(now);
            if let marigold_request::drain::Phase::Exit(code) = phase {
                let line = format!("d{} exits with code {}", id + 1, code.code());
                self.mesh.output.push(line);
                self.mesh.stop(id);
            } else {
                self.mesh.advance(ANNOUNCEMENT_TIME)?;
                self.mesh
                    .endpoint_states
                    .insert(id, EndpointState::Draining);
                self.mesh.publish();
            }
        }
        Ok(std::mem::take(&mut self.mesh.output).join("\n"))
    }

    fn set_endpoint_state(&mut self, names: &[String], state: &str) -> CommandResult {
        for id in self.node_ids(names)? {
            match state {
                "ready" => drop(self.mesh.endpoint_states.insert(id, EndpointState::Ready)),
                "suspect" => drop(self.mesh.endpoint_states.insert(id, EndpointState::Suspect)),
                "gone" => drop(self.mesh.endpoint_states.remove(&id)),
                other => return Err(format!("no state `{other}`").into()),
            }
        }
        self.mesh.publish();
        Ok(String::new())
    }

    fn change_links(&mut self, command: &RequestCommand) -> CommandResult {
        use RequestCommand as C;
        match command {
            C::Cut { names } => {
                let ids = self.node_ids(names)?;
                self.mesh.links.partition(&ids);
            }
            C::Mute { one, other } => {
                let (one, other) = (self.node_id(one)?, self.node_id(other)?);
                self.mesh.links.silence(one, other);
            }
            C::Repeat { kind, from, to } => {
                let wanted = (kind.clone(), self.node_id(from)?, self.node_id(to)?);
                self.mesh.duplicates.push(wanted);
            }
            _ => self.mesh.links.heal(),
        }
        Ok(String::new())
    }

    fn runs(&self) -> String {
        let line = |(name, at): (&Arc<str>, &Vec<Arc<str>>)| format!("{name}: {}", at.join(" "));
        let runs = self
            .mesh
            .invariants
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

    fn run(&mut self, command: &RequestCommand, _: &Context) -> CommandResult {
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
                    service: desk_service(),
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
                    service: desk_service(),
                    caller: None,
                    rate: Rate(*rate),
                };
                self.mesh.declare(
                    Resource::Limit(Arc::from(name.as_str())),
                    Declaration::Limit(limit),
                );
                Ok(String::new())
            }
            C::Server { names, time, mode } => {
                self.configure_servers(names, *time, mode.as_deref())
            }
            C::Key {
                name,
                at,
                executor,
                witness,
            } => self.create_key(name, at, executor, witness),
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
            C::Leave { names } => self.disconnect_callers(names),
            C::Crash { names } => self.change_process(names, Mesh::stop),
            C::Restart { names } => self.change_process(names, Mesh::restart),
            C::Pause { names } => self.change_process(names, |mesh, id| {
                mesh.nodes[id].process = Process::Paused;
            }),
            C::Resume { names } => self.change_process(names, |mesh, id| {
                mesh.nodes[id].process = Process::Up;
            }),
            C::Term { names } => self.send_termination(names),
            C::Cut { .. } | C::Heal | C::Mute { .. } | C::Repeat { .. } => {
                self.change_links(command)
            }
            C::See { names, state } => self.set_endpoint_state(names, state),
            C::Advance { time } => {
                self.mesh.advance(time.duration())?;
                Ok(std::mem::take(&mut self.mesh.output).join("\n"))
            }
            C::Runs => Ok(self.runs()),
            C::Crashes => Ok(format!(
                "{} backend servers crashed",
                self.mesh.server_crashes
            )),
            C::Burn => Ok(self.burn()),
        }
    }
}
