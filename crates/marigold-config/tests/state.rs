//! Tests of the state machine: concurrent plans, authorization, expiry, repetitions and limits.

mod common;

use common::{HOUR, Mesh, accepted, explain};
use marigold_auth::OperatorKey;
use marigold_config::{
    Change, Config, ConfirmOutcome, Decision, IgnoreReason, Plan, Record, Resource, SignedPlan,
    State,
};
use marigold_types::{RecordTime, Version};

const HALF_HOUR: u64 = HOUR / 2;
const REFUNDS: &str = "[route refunds]\npath = /refunds\nservice = ledger\n";
const BILLS: &str = "[route bills]\npath = /bills\nservice = ledger\n";

/// Creates a plan that adds the sections in `extra` to the base intent.
fn plan(mesh: &Mesh, key: &OperatorKey, base: &Config, extra: &str) -> SignedPlan {
    mesh.plan(key, base, &mesh.base_intent(extra))
}

fn last_decision(mesh: &Mesh) -> Decision {
    mesh.replay().1.pop().unwrap()
}

#[test]
fn root_operator_makes_first_version() {
    let mesh = Mesh::started();
    let (state, decisions) = mesh.replay();
    assert!(matches!(decisions[0], Decision::Planned { .. }));
    assert!(accepted(&decisions[1]).is_some());
    assert_eq!(state.config().version, Version(2));
    assert!(state.config().is_complete());
    assert!(state.pending().is_empty());
}

#[test]
fn accepted_delta_yields_new_config() {
    let mesh = Mesh::started();
    let (state, decisions) = mesh.replay();
    let Decision::Accepted { delta, .. } = &decisions[1] else {
        panic!("not accepted");
    };
    assert_eq!(Config::default().apply(delta).unwrap(), *state.config());
}

#[test]
fn only_first_of_conflicting_plans_is_accepted() {
    for (first, second) in [(0, 1), (1, 0)] {
        let mut mesh = Mesh::started();
        let base = mesh.config();
        let plans = [
            plan(&mesh, &mesh.ann, &base, REFUNDS),
            plan(&mesh, &mesh.bob, &base, &REFUNDS.replace("ledger", "desk")),
        ];
        for plan in &plans {
            mesh.store(plan);
        }
        mesh.confirm(&plans[first]);
        mesh.confirm(&plans[second]);
        let (state, decisions) = mesh.replay();
        assert_eq!(accepted(&decisions[4]), Some(plans[first].plan.id()));
        let rejection = explain(&decisions[5]);
        let winner = &plans[first].plan.operator;
        let want = format!(
            "route:refunds has changed since the plan was made, by version 5 that `{winner}` \
            confirmed; plan again"
        );
        assert_eq!(rejection, want);
        assert_eq!(state.config().version, Version(5));
    }
}

#[test]
fn disjoint_plans_are_both_accepted() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let one = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let other = plan(&mesh, &mesh.bob, &base, BILLS);
    mesh.confirm(&one);
    mesh.confirm(&other);
    assert!(accepted(&last_decision(&mesh)).is_some());
    assert_eq!(mesh.config().routes().count(), 3);
}

#[test]
fn changed_dependency_rejects_plan() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let route = plan(&mesh, &mesh.bob, &base, REFUNDS);
    let intent = mesh
        .base_intent("")
        .replace("[service ledger]", "[service ledger]\nslots = 3");
    let service = mesh.plan(&mesh.ann, &base, &intent);
    mesh.confirm(&service);
    mesh.confirm(&route);
    assert!(explain(&last_decision(&mesh)).starts_with("service:ledger has changed"));
}

#[test]
fn service_with_route_cannot_be_removed() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let route = plan(&mesh, &mesh.bob, &base, REFUNDS);
    let intent = mesh.base_intent("").replace("[service ledger]\n", "");
    let removal = mesh.plan(&mesh.ann, &base, &intent);
    mesh.confirm(&route);
    mesh.confirm(&removal);
    assert!(explain(&last_decision(&mesh)).contains("service `ledger` is not declared"));
    assert!(mesh.config().is_complete());
}

#[test]
fn duplicate_path_is_rejected() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let one = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let other = plan(
        &mesh,
        &mesh.bob,
        &base,
        &REFUNDS.replace("[route refunds]", "[route back]"),
    );
    mesh.confirm(&one);
    mesh.confirm(&other);
    assert!(explain(&last_decision(&mesh)).contains("path `/refunds` is taken by route:back"));
}

#[test]
fn plan_on_old_base_with_same_content_is_accepted() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let late = plan(&mesh, &mesh.bob, &base, BILLS);
    let addition = plan(&mesh, &mesh.ann, &base, REFUNDS);
    mesh.confirm(&addition);
    let removal = mesh.plan(&mesh.ann, &mesh.config(), &mesh.base_intent(""));
    mesh.confirm(&removal);
    mesh.confirm(&late);
    assert!(accepted(&last_decision(&mesh)).is_some());
}

/// A repeated confirmation must not undo later changes.
#[test]
fn repeated_confirmation_does_not_revert() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let addition = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let record = mesh.confirmation(&addition, "ann").to_string();
    mesh.append(record.clone());
    let removal = mesh.plan(&mesh.ann, &mesh.config(), &mesh.base_intent(""));
    mesh.confirm(&removal);
    let held = mesh.config();
    mesh.append(record);
    let outcome = ConfirmOutcome::Accepted {
        version: Version(3),
    };
    let plan = addition.plan.id();
    assert_eq!(last_decision(&mesh), Decision::Repeated { plan, outcome });
    assert_eq!(mesh.config(), held);
}

#[test]
fn repeated_rejected_confirmation_stays_rejected() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let addition = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let other = plan(&mesh, &mesh.bob, &base, &REFUNDS.replace("ledger", "desk"));
    mesh.confirm(&addition);
    let record = mesh.confirmation(&other, "bob").to_string();
    mesh.append(record.clone());
    let removal = mesh.plan(&mesh.ann, &mesh.config(), &mesh.base_intent(""));
    mesh.confirm(&removal);
    mesh.append(record);
    let Decision::Repeated { outcome, .. } = last_decision(&mesh) else {
        panic!("not a repeat");
    };
    assert!(matches!(outcome, ConfirmOutcome::Rejected { .. }));
}

#[test]
fn expired_plan_and_confirmation_are_rejected() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let one = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let record = mesh.confirmation(&one, "ann").to_string();
    mesh.time += 11 * 60_000;
    mesh.append(record);
    assert!(explain(&last_decision(&mesh)).starts_with("the confirmation expired"));
    mesh.time += HOUR;
    mesh.confirm(&one);
    assert!(explain(&last_decision(&mesh)).starts_with("the plan expired"));
}

#[test]
fn plan_expiry_is_limited() {
    let mut mesh = Mesh::started();
    mesh.time += 100 * HOUR;
    let mut one = plan(&mesh, &mesh.ann, &mesh.config(), REFUNDS);
    one.plan.expires = RecordTime(u64::MAX);
    let one = SignedPlan::sign(one.plan, &mesh.ann);
    mesh.confirm(&one);
    assert!(explain(&last_decision(&mesh)).contains("is valid for longer"));
}

#[test]
fn expired_confirmation_stays_expired_when_log_clock_steps_back() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let one = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let record = mesh.confirmation(&one, "ann").to_string();
    mesh.append(record.clone());
    let removal = mesh.plan(&mesh.ann, &mesh.config(), &mesh.base_intent(""));
    mesh.confirm(&removal);
    let held = mesh.config();
    mesh.time += 30 * HOUR;
    mesh.append("not a record".to_owned());
    mesh.time -= 30 * HOUR;
    mesh.append(record);
    assert!(explain(&last_decision(&mesh)).contains("expired"));
    assert_eq!(mesh.config(), held);
}

#[test]
fn unknown_operator_is_rejected() {
    let mut mesh = Mesh::started();
    let eve = OperatorKey::generate("eve".parse().unwrap()).unwrap();
    let one = plan(&mesh, &eve, &mesh.config(), REFUNDS);
    mesh.store(&one);
    assert!(explain(&last_decision(&mesh)).contains("operator `eve` is not declared"));
}

#[test]
fn forged_signature_is_rejected() {
    let mut mesh = Mesh::started();
    let mut one = plan(&mesh, &mesh.bob, &mesh.config(), REFUNDS);
    one.plan.operator = mesh.ann.operator().clone();
    mesh.store(&one);
    assert!(explain(&last_decision(&mesh)).contains("not that of operator `ann`"));
    mesh.confirm(&one);
    assert!(explain(&last_decision(&mesh)).contains("not that of operator `ann`"));
}

#[test]
fn unauthorised_plan_and_confirmation_are_rejected() {
    let mut mesh = Mesh::started();
    let intent = mesh.base_intent("[service billing]\n");
    let one = mesh.plan(&mesh.bob, &mesh.config(), &intent);
    let want = "no rule lets operator `bob` change service:billing";
    let checked = mesh.replay().0.check_plan(&one, RecordTime(mesh.time));
    assert_eq!(checked.unwrap_err().to_string(), want);
    mesh.confirm(&one);
    assert_eq!(explain(&last_decision(&mesh)), want);
}

#[test]
fn confirming_operator_needs_permission() {
    let mut mesh = Mesh::started();
    let intent = mesh.base_intent("[service billing]\n");
    let one = mesh.plan(&mesh.ann, &mesh.config(), &intent);
    let record = mesh.confirmation(&one, "bob").to_string();
    mesh.append(record);
    assert!(explain(&last_decision(&mesh)).contains("`bob`"));
    // The rejection of bob's confirmation is not final for ann's plan.
    mesh.confirm(&one);
    assert!(accepted(&last_decision(&mesh)).is_some());
}

#[test]
fn window_is_checked_at_record_time() {
    let mut mesh = Mesh::started();
    mesh.time += 24 * HOUR - HALF_HOUR;
    let one = plan(&mesh, &mesh.bob, &mesh.config(), REFUNDS);
    mesh.confirm(&one);
    let want = "operator `bob` may change route:refunds only within mon-fri 06:00-18:00 UTC";
    assert_eq!(explain(&last_decision(&mesh)), want);
    mesh.time += HALF_HOUR;
    mesh.confirm(&one);
    assert!(accepted(&last_decision(&mesh)).is_some());
}

/// Rules are part of the configuration, so a plan can change the rules for later plans.
#[test]
fn changed_rules_apply_to_later_plans() {
    let mut mesh = Mesh::started();
    let late = plan(&mesh, &mesh.bob, &mesh.config(), REFUNDS);
    let intent = mesh
        .base_intent("")
        .replace("[rule bob]\noperator = bob", "[rule bob]\noperator = ann");
    let rules = mesh.plan(&mesh.root, &mesh.config(), &intent);
    mesh.confirm(&rules);
    assert!(accepted(&last_decision(&mesh)).is_some());
    mesh.confirm(&late);
    assert!(explain(&last_decision(&mesh)).contains("no rule lets operator `bob`"));
}

#[test]
fn removed_operator_is_unknown() {
    let mut mesh = Mesh::started();
    let late = plan(&mesh, &mesh.bob, &mesh.config(), REFUNDS);
    let bob = format!("[operator bob]\nkey = {}\n", mesh.bob.public());
    let rule = "[rule bob]\noperator = bob\nresources = route:*\nwindow = mon-fri 06:00-18:00\n";
    let intent = mesh.base_intent("").replace(&bob, "").replace(rule, "");
    let removal = mesh.plan(&mesh.root, &mesh.config(), &intent);
    mesh.confirm(&removal);
    mesh.confirm(&late);
    assert!(explain(&last_decision(&mesh)).contains("operator `bob` is not declared"));
}

#[test]
fn malformed_plans_are_rejected() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let good = plan(&mesh, &mesh.ann, &base, REFUNDS).plan;
    let removal = Change {
        resource: Resource::Route("nobody".parse().unwrap()),
        after: None,
    };
    let cases: [fn(&mut Plan); 3] = [
        |plan| plan.changes.clear(),
        |plan| plan.expects.clear(),
        |plan| plan.changes.extend_from_within(..),
    ];
    for corrupt in cases {
        let mut plan = good.clone();
        corrupt(&mut plan);
        let plan = SignedPlan::sign(plan, &mesh.ann);
        mesh.confirm(&plan);
        assert!(explain(&last_decision(&mesh)).starts_with("the plan is malformed"));
    }
    let expires = RecordTime(mesh.time + HOUR);
    let plan = Plan::new(&base, mesh.ann.operator().clone(), expires, vec![removal]);
    let plan = SignedPlan::sign(plan, &mesh.ann);
    mesh.confirm(&plan);
    assert!(explain(&last_decision(&mesh)).starts_with("the plan is malformed"));
}

/// A plan that was not made from an intent can have values that no valid intent has.
#[test]
fn invalid_values_are_rejected() {
    let mut mesh = Mesh::started();
    let text =
        serde_json::to_string(&plan(&mesh, &mesh.ann, &mesh.config(), REFUNDS).plan).unwrap();
    let invalid = serde_json::from_str(&text.replace("/refunds", "refunds")).unwrap();
    let plan = SignedPlan::sign(invalid, &mesh.ann);
    mesh.confirm(&plan);
    assert!(explain(&last_decision(&mesh)).contains("route:refunds path: not a valid path"));
}

#[test]
fn confirmation_with_different_plan_is_ignored() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let one = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let other = plan(&mesh, &mesh.ann, &base, BILLS);
    let Record::Confirm(mut record) = mesh.confirmation(&one, "ann") else {
        panic!("no confirmation");
    };
    record.plan = other;
    mesh.append(Record::Confirm(record).to_string());
    let reason = IgnoreReason::PlanMismatch;
    assert_eq!(last_decision(&mesh), Decision::Ignored { reason });
}

#[test]
fn invalid_records_are_ignored() {
    let mut mesh = Mesh::started();
    let before = mesh.config();
    for data in ["", "{}", "[[[", "{\"plan\":{}}", &"[".repeat(5_000)] {
        mesh.append(data.to_owned());
        let reason = IgnoreReason::Unparsable;
        assert_eq!(last_decision(&mesh), Decision::Ignored { reason });
    }
    mesh.append("x".repeat(1_000_001));
    let reason = IgnoreReason::TooLarge;
    assert_eq!(last_decision(&mesh), Decision::Ignored { reason });
    assert_eq!(mesh.config(), before);
}

#[test]
fn pending_plans_are_bounded() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    for at in 0..100 {
        let extra = format!("[route r{at}]\npath = /r{at}\nservice = desk\n");
        let plan = plan(&mesh, &mesh.ann, &base, &extra);
        mesh.store(&plan);
    }
    assert_eq!(mesh.replay().0.pending().len(), 64);
    mesh.time += 2 * HOUR;
    mesh.append("not a record".to_owned());
    assert!(mesh.replay().0.pending().is_empty());
}

#[test]
fn records_apply_once_and_in_order() {
    let mesh = Mesh::started();
    let mut state = State::new(mesh.trust.clone());
    let ignored = |reason| Decision::Ignored { reason };
    assert_eq!(state.apply(&mesh.log[1]), ignored(IgnoreReason::Gap));
    state.apply(&mesh.log[0]);
    assert_eq!(
        state.apply(&mesh.log[0]),
        ignored(IgnoreReason::AlreadyApplied)
    );
    assert!(accepted(&state.apply(&mesh.log[1])).is_some());
}

#[test]
fn history_names_author_and_operator() {
    let mut mesh = Mesh::started();
    let one = plan(&mesh, &mesh.bob, &mesh.config(), REFUNDS);
    let record = mesh.confirmation(&one, "ann").to_string();
    mesh.append(record);
    let (state, _) = mesh.replay();
    let entry = state.history().entries().last().unwrap();
    assert_eq!(
        (entry.author.as_str(), entry.operator.as_str()),
        ("bob", "ann")
    );
    assert_eq!(entry.changed, [Resource::Route("refunds".parse().unwrap())]);
}

/// Long texts in records of operators without permission must not take up space in the state.
#[test]
fn long_texts_are_not_stored() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let expires = RecordTime(mesh.time + HOUR);
    let long = |letter: &str| std::sync::Arc::<str>::from(letter.repeat(400_000));
    let removal = Change {
        resource: Resource::Limit(long("x")),
        after: None,
    };
    let bob = mesh.bob.operator().clone();
    let named = SignedPlan::sign(Plan::new(&base, bob, expires, vec![removal]), &mesh.bob);

    let good = plan(
        &mesh,
        &mesh.root,
        &base,
        "[rule r]\noperator = ann\nresources = *\n",
    )
    .plan;
    let text = serde_json::to_string(&good).unwrap();
    let text = text.replace("\"always\"", &format!("\"{}\"", long("y")));
    let valued = SignedPlan::sign(serde_json::from_str(&text).unwrap(), &mesh.root);

    for plan in [named, valued] {
        mesh.store(&plan);
        for _ in 0..3 {
            mesh.confirm(&plan);
            assert!(accepted(&last_decision(&mesh)).is_none());
        }
    }
    let checkpoint = serde_json::to_string(&mesh.replay().0.checkpoint()).unwrap();
    assert!(checkpoint.len() < 20_000, "{}", checkpoint.len());
}

#[test]
fn operator_with_rule_cannot_be_removed() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let removal = Change {
        resource: Resource::Operator("bob".parse().unwrap()),
        after: None,
    };
    let expires = RecordTime(mesh.time + HOUR);
    let root = mesh.root.operator().clone();
    let plan = SignedPlan::sign(Plan::new(&base, root, expires, vec![removal]), &mesh.root);
    mesh.confirm(&plan);
    assert!(
        explain(&last_decision(&mesh))
            .contains("rule:bob operator: operator `bob` is not declared")
    );
}
