//! Simulated ingresses that send fixed shares of the demand to other data centres.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use marigold_dispatch::{DataCentreFigures, KindDemand, LocalityPlan, LocalityPlanner};
use marigold_types::ServiceName;
use rand::RngExt;

use super::{BODY_BYTES, EXPIRY_INTERVAL, REMOTE_DELAY, Simulation, address};
use crate::ingress::data_centre_name;

/// The number of steps between two publications: 200 ms. Each daemon gets them a step later than the one before it.
const PUBLISH_STEPS: usize = 10;
/// The time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// What data centres have published, and the plans of each ingress.
#[derive(Debug, Default)]
pub(super) struct Shares {
    step: usize,
    /// The slots that the requests of a class hold which arise in a data centre, averaged.
    arising: HashMap<(usize, usize), f64>,
    published: HashMap<(ServiceName, usize), DataCentreFigures>,
    planners: HashMap<(usize, ServiceName), LocalityPlanner>,
    plans: HashMap<(usize, ServiceName), LocalityPlan>,
}

impl Simulation {
    /// Counts a request that arises at an ingress.
    pub(super) fn record_arising(&mut self, class: usize, ingress: usize) {
        let held = self.scenario.classes[class].run.as_secs_f64()
            + self.scenario.classes[class]
                .calls
                .map_or(0.0, |(called, share)| {
                    share * self.scenario.classes[called].run.as_secs_f64()
                });
        if let Some(shares) = &mut self.shares {
            let data_centre = self.ingresses[ingress].data_centre;
            let arising = shares.arising.entry((class, data_centre)).or_default();
            *arising += held / DEMAND_TIME.as_secs_f64();
        }
    }

    /// Publishes the figures of all data centres and hands the last ones to the ingresses whose turn it is.
    pub(super) fn publish(&mut self) {
        let Some(mut shares) = self.shares.take() else {
            return;
        };
        let kept = (-EXPIRY_INTERVAL.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
        shares
            .arising
            .values_mut()
            .for_each(|arising| *arising *= kept);
        if shares.step.is_multiple_of(PUBLISH_STEPS) {
            self.publish_figures(&mut shares);
        }
        for ingress in 0..self.ingresses.len() {
            if ingress % PUBLISH_STEPS == shares.step % PUBLISH_STEPS {
                self.plan(ingress, &mut shares);
            }
        }
        shares.step += 1;
        self.shares = Some(shares);
    }

    fn publish_figures(&self, shares: &mut Shares) {
        let mut services: Vec<_> = self.scenario.classes.iter().map(|c| &c.service).collect();
        services.dedup();
        for service in services {
            for data_centre in 0..self.scenario.data_centres {
                let classes = self.scenario.classes.iter().enumerate();
                let arising = classes
                    .filter(|(_, class)| class.service == *service)
                    .filter_map(|(number, _)| shares.arising.get(&(number, data_centre)))
                    .sum();
                let slots = self
                    .executors
                    .iter()
                    .filter(|executor| executor.service == *service)
                    .filter(|executor| executor.data_centre == data_centre && !executor.has_left)
                    .map(|executor| f64::from(executor.admission.slots().0) / executor.slowness)
                    .sum();
                let figures = DataCentreFigures {
                    arising,
                    slots,
                    published_at: self.now,
                };
                shares
                    .published
                    .insert((service.clone(), data_centre), figures);
            }
        }
    }

    fn plan(&self, ingress: usize, shares: &mut Shares) {
        let home = self.ingresses[ingress].data_centre;
        for ((service, data_centre), figures) in &shares.published {
            let planner = shares
                .planners
                .entry((ingress, service.clone()))
                .or_default();
            planner.record(&data_centre_name(*data_centre), *figures);
            for other in 0..*data_centre {
                let (from, to) = (data_centre_name(*data_centre), data_centre_name(other));
                planner.record_way(&from, &to, Some(REMOTE_DELAY));
            }
        }
        let services: Vec<_> = shares
            .published
            .keys()
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            let classes = self.scenario.classes.iter().enumerate();
            let kinds: Vec<_> = classes
                .filter(|(_, class)| class.service == service)
                .map(|(number, class)| KindDemand {
                    kind: class.kind.clone(),
                    rank: class.rank,
                    arising: shares.arising.get(&(number, home)).copied().unwrap_or(0.0),
                    run: class.run,
                    objective: class.objective,
                    bytes: 2.0 * f64::from(u32::try_from(BODY_BYTES).expect("few")),
                })
                .collect();
            let planner = shares
                .planners
                .entry((ingress, service.clone()))
                .or_default();
            let home_name = data_centre_name(home);
            let plan = planner.plan(&home_name, &kinds, self.scenario.byte_cost, self.now);
            shares.plans.insert((ingress, service), plan);
        }
    }

    /// Returns the executors that the first attempt of a request may not go to, since the plan sends it elsewhere.
    pub(super) fn excluded(&mut self, number: usize) -> Vec<SocketAddr> {
        let request = &self.requests[number];
        let class = &self.scenario.classes[request.class];
        let Some(shares) = &self.shares else {
            return Vec::new();
        };
        let ingress = &self.ingresses[request.ingress];
        let plan = shares.plans.get(&(request.ingress, class.service.clone()));
        let draws = (self.rng.random(), self.rng.random());
        let to = plan
            .and_then(|plan| plan.destination(&class.kind, draws))
            .cloned();
        let to = to.unwrap_or_else(|| data_centre_name(ingress.data_centre));
        let executors = self.executors.iter().enumerate();
        executors
            .filter(|(_, executor)| executor.service == class.service)
            .filter(|(_, executor)| data_centre_name(executor.data_centre) != to)
            .map(|(number, _)| address(number))
            .collect()
    }
}
