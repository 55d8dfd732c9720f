//! Races, the rebase rule, authority, windows and repeats, as the fold judges them.

mod common;

use common::{HOUR, Mesh, accepted, explain};
use marigold_auth::OperatorKey;
use marigold_config::{
    Change, Config, Decision, IgnoreReason, Plan, Record, Resource, SignedPlan, State, Verdict,
};
use marigold_types::{RecordTime, Version};

const HALF_HOUR: u64 = HOUR / 2;
const REFUNDS: &str = "[route refunds]\npath = /refunds\nservice = ledger\n";
const BILLS: &str = "[route bills]\npath = /bills\nservice = ledger\n";

/// Makes the plan that adds `extra` to the first intent.
fn plan(mesh: &Mesh, key: &OperatorKey, base: &Config, extra: &str) -> SignedPlan {
    mesh.plan(key, base, &mesh.base_intent(extra))
}

fn last(mesh: &Mesh) -> Decision {
    mesh.fold().1.pop().unwrap()
}

#[test]
fn first_plan_by_root() {
    let mesh = Mesh::started();
    let (state, decisions) = mesh.fold();
    assert!(matches!(decisions[0], Decision::Planned { .. }));
    assert!(accepted(&decisions[1]).is_some());
    assert_eq!(state.config().version, Version(2));
    assert!(state.config().is_complete());
    assert!(state.pending().is_empty());
}

#[test]
fn delta_leads_to_version() {
    let mesh = Mesh::started();
    let (state, decisions) = mesh.fold();
    let Decision::Accepted { delta, .. } = &decisions[1] else {
        panic!("not accepted");
    };
    assert_eq!(Config::default().apply(delta).unwrap(), *state.config());
}

#[test]
fn race_has_one_winner() {
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
        let (state, decisions) = mesh.fold();
        assert_eq!(accepted(&decisions[4]), Some(plans[first].plan.id()));
        let refusal = explain(&decisions[5]);
        let winner = &plans[first].plan.operator;
        let want = format!(
            "route:refunds has changed since the plan was made, by version 5 that `{winner}` \
            confirmed; plan again"
        );
        assert_eq!(refusal, want);
        assert_eq!(state.config().version, Version(5));
    }
}

#[test]
fn disjoint_plans_both_pass() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let one = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let other = plan(&mesh, &mesh.bob, &base, BILLS);
    mesh.confirm(&one);
    mesh.confirm(&other);
    assert!(accepted(&last(&mesh)).is_some());
    assert_eq!(mesh.config().routes().count(), 3);
}

#[test]
fn changed_dependency_overtakes() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let route = plan(&mesh, &mesh.bob, &base, REFUNDS);
    let intent = mesh
        .base_intent("")
        .replace("[service ledger]", "[service ledger]\nslots = 3");
    let service = mesh.plan(&mesh.ann, &base, &intent);
    mesh.confirm(&service);
    mesh.confirm(&route);
    assert!(explain(&last(&mesh)).starts_with("service:ledger has changed"));
}

#[test]
fn removed_service_keeps_routes_whole() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let route = plan(&mesh, &mesh.bob, &base, REFUNDS);
    let intent = mesh.base_intent("").replace("[service ledger]\n", "");
    let removal = mesh.plan(&mesh.ann, &base, &intent);
    mesh.confirm(&route);
    mesh.confirm(&removal);
    assert!(explain(&last(&mesh)).contains("service `ledger` is not declared"));
    assert!(mesh.config().is_complete());
}

#[test]
fn same_path_by_two_names_is_refused() {
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
    assert!(explain(&last(&mesh)).contains("path `/refunds` is taken by route:back"));
}

#[test]
fn moved_base_with_same_content_stands() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let late = plan(&mesh, &mesh.bob, &base, BILLS);
    let there = plan(&mesh, &mesh.ann, &base, REFUNDS);
    mesh.confirm(&there);
    let back = mesh.plan(&mesh.ann, &mesh.config(), &mesh.base_intent(""));
    mesh.confirm(&back);
    mesh.confirm(&late);
    assert!(accepted(&last(&mesh)).is_some());
}

/// A copy of a settled confirmation must not bring back what was changed since.
#[test]
fn late_copy_does_not_revert() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let there = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let record = mesh.confirmation(&there, "ann").to_string();
    mesh.append(record.clone());
    let back = mesh.plan(&mesh.ann, &mesh.config(), &mesh.base_intent(""));
    mesh.confirm(&back);
    let held = mesh.config();
    mesh.append(record);
    let verdict = Verdict::Accepted {
        version: Version(3),
    };
    let plan = there.plan.id();
    assert_eq!(last(&mesh), Decision::Repeated { plan, verdict });
    assert_eq!(mesh.config(), held);
}

#[test]
fn copy_of_refusal_stays_refused() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let there = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let other = plan(&mesh, &mesh.bob, &base, &REFUNDS.replace("ledger", "desk"));
    mesh.confirm(&there);
    let record = mesh.confirmation(&other, "bob").to_string();
    mesh.append(record.clone());
    let back = mesh.plan(&mesh.ann, &mesh.config(), &mesh.base_intent(""));
    mesh.confirm(&back);
    mesh.append(record);
    let Decision::Repeated { verdict, .. } = last(&mesh) else {
        panic!("not a repeat");
    };
    assert!(matches!(verdict, Verdict::Rejected { .. }));
}

#[test]
fn expired_plan_and_confirmation() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let one = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let record = mesh.confirmation(&one, "ann").to_string();
    mesh.time += 11 * 60_000;
    mesh.append(record);
    assert!(explain(&last(&mesh)).starts_with("the confirmation expired"));
    mesh.time += HOUR;
    mesh.confirm(&one);
    assert!(explain(&last(&mesh)).starts_with("the plan expired"));
}

#[test]
fn plan_cannot_live_for_ever() {
    let mut mesh = Mesh::started();
    mesh.time += 100 * HOUR;
    let mut one = plan(&mesh, &mesh.ann, &mesh.config(), REFUNDS);
    one.plan.expires = RecordTime(u64::MAX);
    let one = SignedPlan::sign(one.plan, &mesh.ann);
    mesh.confirm(&one);
    assert!(explain(&last(&mesh)).contains("counts for longer"));
}

#[test]
fn log_clock_stepping_back_revives_nothing() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let one = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let record = mesh.confirmation(&one, "ann").to_string();
    mesh.append(record.clone());
    let back = mesh.plan(&mesh.ann, &mesh.config(), &mesh.base_intent(""));
    mesh.confirm(&back);
    let held = mesh.config();
    mesh.time += 30 * HOUR;
    mesh.append("noise".to_owned());
    mesh.time -= 30 * HOUR;
    mesh.append(record);
    assert!(explain(&last(&mesh)).contains("expired"));
    assert_eq!(mesh.config(), held);
}

#[test]
fn unknown_operator() {
    let mut mesh = Mesh::started();
    let eve = OperatorKey::generate("eve".parse().unwrap()).unwrap();
    let one = plan(&mesh, &eve, &mesh.config(), REFUNDS);
    mesh.store(&one);
    assert!(explain(&last(&mesh)).contains("operator `eve` is not declared"));
}

#[test]
fn forged_signature() {
    let mut mesh = Mesh::started();
    let mut one = plan(&mesh, &mesh.bob, &mesh.config(), REFUNDS);
    one.plan.operator = mesh.ann.operator().clone();
    mesh.store(&one);
    assert!(explain(&last(&mesh)).contains("not that of operator `ann`"));
    mesh.confirm(&one);
    assert!(explain(&last(&mesh)).contains("not that of operator `ann`"));
}

#[test]
fn unauthorised_at_plan_and_in_fold() {
    let mut mesh = Mesh::started();
    let intent = mesh.base_intent("[service billing]\n");
    let one = mesh.plan(&mesh.bob, &mesh.config(), &intent);
    let want = "no rule lets operator `bob` change service:billing";
    let refused = mesh.fold().0.check_plan(&one, RecordTime(mesh.time));
    assert_eq!(refused.unwrap_err().to_string(), want);
    mesh.confirm(&one);
    assert_eq!(explain(&last(&mesh)), want);
}

#[test]
fn confirmer_needs_the_right_too() {
    let mut mesh = Mesh::started();
    let intent = mesh.base_intent("[service billing]\n");
    let one = mesh.plan(&mesh.ann, &mesh.config(), &intent);
    let record = mesh.confirmation(&one, "bob").to_string();
    mesh.append(record);
    assert!(explain(&last(&mesh)).contains("`bob`"));
    // The refusal of bob does not use up ann's plan.
    mesh.confirm(&one);
    assert!(accepted(&last(&mesh)).is_some());
}

#[test]
fn window_is_judged_by_record_time() {
    let mut mesh = Mesh::started();
    mesh.time += 24 * HOUR - HALF_HOUR;
    let one = plan(&mesh, &mesh.bob, &mesh.config(), REFUNDS);
    mesh.confirm(&one);
    let want = "operator `bob` may change route:refunds only within mon-fri 06:00-18:00 UTC";
    assert_eq!(explain(&last(&mesh)), want);
    mesh.time += HALF_HOUR;
    mesh.confirm(&one);
    assert!(accepted(&last(&mesh)).is_some());
}

/// The rules are part of the configuration: a plan changes them, and the fold goes by the new ones.
#[test]
fn rules_change_by_plans() {
    let mut mesh = Mesh::started();
    let late = plan(&mesh, &mesh.bob, &mesh.config(), REFUNDS);
    let intent = mesh
        .base_intent("")
        .replace("[rule bob]\noperator = bob", "[rule bob]\noperator = ann");
    let rules = mesh.plan(&mesh.root, &mesh.config(), &intent);
    mesh.confirm(&rules);
    assert!(accepted(&last(&mesh)).is_some());
    mesh.confirm(&late);
    assert!(explain(&last(&mesh)).contains("no rule lets operator `bob`"));
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
    assert!(explain(&last(&mesh)).contains("operator `bob` is not declared"));
}

#[test]
fn malformed_plans() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let good = plan(&mesh, &mesh.ann, &base, REFUNDS).plan;
    let gone = Change {
        resource: Resource::Route("nobody".parse().unwrap()),
        after: None,
    };
    let cases: [fn(&mut Plan); 3] = [
        |plan| plan.changes.clear(),
        |plan| plan.expects.clear(),
        |plan| plan.changes.extend_from_within(..),
    ];
    for spoil in cases {
        let mut plan = good.clone();
        spoil(&mut plan);
        let plan = SignedPlan::sign(plan, &mesh.ann);
        mesh.confirm(&plan);
        assert!(explain(&last(&mesh)).starts_with("the plan is malformed"));
    }
    let expires = RecordTime(mesh.time + HOUR);
    let plan = Plan::new(&base, mesh.ann.operator().clone(), expires, vec![gone]);
    let plan = SignedPlan::sign(plan, &mesh.ann);
    mesh.confirm(&plan);
    assert!(explain(&last(&mesh)).starts_with("the plan is malformed"));
}

/// Values that no intent could hold come by a hand-made plan.
#[test]
fn invalid_values_are_refused() {
    let mut mesh = Mesh::started();
    let text =
        serde_json::to_string(&plan(&mesh, &mesh.ann, &mesh.config(), REFUNDS).plan).unwrap();
    let spoiled = serde_json::from_str(&text.replace("/refunds", "refunds")).unwrap();
    let plan = SignedPlan::sign(spoiled, &mesh.ann);
    mesh.confirm(&plan);
    assert!(explain(&last(&mesh)).contains("route:refunds path: not a valid path"));
}

#[test]
fn confirmation_with_other_plan() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let one = plan(&mesh, &mesh.ann, &base, REFUNDS);
    let other = plan(&mesh, &mesh.ann, &base, BILLS);
    let Record::Confirm(mut record) = mesh.confirmation(&one, "ann") else {
        panic!("no confirmation");
    };
    record.plan = other;
    mesh.append(Record::Confirm(record).to_string());
    let reason = IgnoreReason::OtherPlan;
    assert_eq!(last(&mesh), Decision::Ignored { reason });
}

#[test]
fn noise_is_ignored() {
    let mut mesh = Mesh::started();
    let before = mesh.config();
    for noise in ["", "{}", "[[[", "{\"plan\":{}}", &"[".repeat(5_000)] {
        mesh.append(noise.to_owned());
        let reason = IgnoreReason::Unparsable;
        assert_eq!(last(&mesh), Decision::Ignored { reason });
    }
    mesh.append("x".repeat(1_000_001));
    let reason = IgnoreReason::TooLarge;
    assert_eq!(last(&mesh), Decision::Ignored { reason });
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
    assert_eq!(mesh.fold().0.pending().len(), 64);
    mesh.time += 2 * HOUR;
    mesh.append("noise".to_owned());
    assert!(mesh.fold().0.pending().is_empty());
}

#[test]
fn records_fold_once_and_in_order() {
    let mesh = Mesh::started();
    let mut state = State::new(mesh.trust.clone());
    let ignored = |reason| Decision::Ignored { reason };
    assert_eq!(state.apply(&mesh.log[1]), ignored(IgnoreReason::Gap));
    state.apply(&mesh.log[0]);
    assert_eq!(state.apply(&mesh.log[0]), ignored(IgnoreReason::Folded));
    assert!(accepted(&state.apply(&mesh.log[1])).is_some());
}

#[test]
fn history_names_author_and_operator() {
    let mut mesh = Mesh::started();
    let one = plan(&mesh, &mesh.bob, &mesh.config(), REFUNDS);
    let record = mesh.confirmation(&one, "ann").to_string();
    mesh.append(record);
    let (state, _) = mesh.fold();
    let entry = state.history().entries().last().unwrap();
    assert_eq!(
        (entry.author.as_str(), entry.operator.as_str()),
        ("bob", "ann")
    );
    assert_eq!(entry.changed, [Resource::Route("refunds".parse().unwrap())]);
}

/// What operators without rights write into records takes up no room in the state.
#[test]
fn long_texts_are_not_kept() {
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
            assert!(accepted(&last(&mesh)).is_none());
        }
    }
    let checkpoint = serde_json::to_string(&mesh.fold().0.checkpoint()).unwrap();
    assert!(checkpoint.len() < 20_000, "{}", checkpoint.len());
}

#[test]
fn rules_need_their_operator() {
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
    assert!(explain(&last(&mesh)).contains("rule:bob operator: operator `bob` is not declared"));
}
