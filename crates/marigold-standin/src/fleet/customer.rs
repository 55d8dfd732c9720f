//! The meshes of the two customers at their current size.

use marigold_config::Intent;
use marigold_settings::{ControlSettings, Profile, RequestSettings};
use marigold_types::{Interval, ServiceName, SlotCount};

use super::{MeshPlan, NodePlan};
use crate::StandinError;
use crate::backend::{BackendPlan, ServiceTime};
use crate::load::LoadRoute;

const TREGARON_INTENT: &str = include_str!("../../../../examples/tregaron/mesh.ini");
const ASPEN_COULEE_INTENT: &str = include_str!("../../../../examples/aspen-coulee/mesh.ini");
const SERVICE_TIME: Interval = Interval::from_millis(5);
const CONNECT_DELAY: Interval = Interval::from_millis(1);

/// A customer whose mesh is started by the demonstration and the tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Customer {
    /// Tregaron Fuel Haulage, which prioritises convergence time.
    Tregaron,
    /// Aspen Coulee Municipal Utility, which prioritises low control traffic.
    AspenCoulee,
}

impl Customer {
    /// Both customers.
    pub const ALL: [Self; 2] = [Self::Tregaron, Self::AspenCoulee];

    /// Returns the mesh's name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Tregaron => "tregaron",
            Self::AspenCoulee => "aspen-coulee",
        }
    }

    /// Returns the text of the sample intent.
    #[must_use]
    pub const fn intent_text(self) -> &'static str {
        match self {
            Self::Tregaron => TREGARON_INTENT,
            Self::AspenCoulee => ASPEN_COULEE_INTENT,
        }
    }

    /// Parses the sample intent.
    ///
    /// # Errors
    ///
    /// Returns an error if the sample is invalid.
    pub fn intent(self) -> Result<Intent, StandinError> {
        Intent::parse(self.name(), self.intent_text())
            .map_err(|faults| StandinError::new("read intent", &self.name(), &faults))
    }

    /// Parses the sample intent with one longer deadline and one additional route of class `batch`.
    ///
    /// # Errors
    ///
    /// Returns an error if the sample is invalid.
    pub fn changed_intent(self) -> Result<Intent, StandinError> {
        let (service, from, to) = match self {
            Self::Tregaron => ("dispatch-desk", "deadline = 2s", "deadline = 3s"),
            Self::AspenCoulee => ("gradeflow", "deadline = 30s", "deadline = 40s"),
        };
        let text = self.intent_text().replace(from, to);
        let text = format!(
            "{text}\n[route added]\npath = /added\nservice = {service}\nclass = batch\n\
             idempotent = yes\n"
        );
        Intent::parse(self.name(), &text)
            .map_err(|faults| StandinError::new("read intent", &self.name(), &faults))
    }

    /// Returns the control profile that the customer uses.
    #[must_use]
    pub const fn profile(self) -> Profile {
        match self {
            Self::Tregaron => Profile::Time,
            Self::AspenCoulee => Profile::Bytes,
        }
    }

    /// Returns the routes that the customer's callers use, with their weights.
    #[must_use]
    pub fn load_routes(self) -> Vec<LoadRoute> {
        match self {
            Self::Tregaron => vec![
                LoadRoute::repeatable("/lookup/gantry").with_weight(6),
                LoadRoute::repeatable("/permissions/load").with_weight(2),
                LoadRoute::repeatable("/readings/meter").with_weight(1),
                LoadRoute::once("/orders/load", service("delivery-ledger")).with_weight(3),
            ],
            Self::AspenCoulee => vec![
                LoadRoute::repeatable("/classgit/refs").with_weight(4),
                LoadRoute::repeatable("/classgit/blob/100000").with_weight(1),
                LoadRoute::repeatable("/permissions/push").with_weight(2),
                LoadRoute::repeatable("/archive/night").with_weight(1),
                LoadRoute::once("/push/branch", service("classgit")).with_weight(2),
                LoadRoute::once("/submit/work", service("gradeflow")).with_weight(2),
            ],
        }
    }

    /// Returns the plan of the mesh at its current size.
    ///
    /// # Panics
    ///
    /// Never: all names are constant and valid.
    #[must_use]
    pub fn mesh_plan(self) -> MeshPlan {
        let (region, data_centres, services) = match self {
            Self::Tregaron => (
                "dyfed",
                ["carmarthen-depot", "milford-terminal", "aberystwyth-yard"],
                [
                    ("dispatch-desk", 5, 15, 120),
                    ("delivery-ledger", 5, 15, 120),
                ],
            ),
            Self::AspenCoulee => (
                "prairie-west",
                ["hall-a", "hall-b", "hall-c"],
                [("classgit", 5, 6, 110), ("gradeflow", 4, 6, 110)],
            ),
        };
        let mut nodes = Vec::new();
        for (name, workers, slots, connections) in services {
            for _ in 0..workers {
                let data_centre = data_centres[nodes.len() % data_centres.len()];
                let backend = BackendPlan {
                    slots: SlotCount(slots),
                    connections,
                    connect_delay: CONNECT_DELAY,
                    time: ServiceTime::Exponential(SERVICE_TIME),
                    seed: nodes.len() as u64,
                    ..BackendPlan::new(service(name))
                };
                nodes.push(NodePlan {
                    data_centre: data_centre.parse().expect("a valid name"),
                    region: region.parse().expect("a valid name"),
                    backend: Some(backend),
                });
            }
        }
        MeshPlan {
            nodes,
            control: ControlSettings {
                profile: self.profile(),
                ..ControlSettings::default()
            },
            request: RequestSettings::default(),
        }
    }
}

fn service(name: &str) -> ServiceName {
    name.parse().expect("a valid name")
}
