//! Tests of reading logs that are trimmed or have several checkpoints, and of restorations.

mod common;

use std::fmt::Write;
use std::sync::Arc;

use common::Mesh;
use marigold_auth::MeshKey;
use marigold_config::{
    CheckpointCause, Decision, IgnoreReason, LogReader, Record, SealedCheckpoint, Trust,
};
use marigold_types::{LogOffset, Version};

/// Appends `count` confirmed plans that each change one route.
fn append_changes(mesh: &mut Mesh, count: usize) {
    for _ in 0..count {
        let reader = mesh.reader(1_000);
        let base = reader.config();
        let at = mesh.log.len();
        let extra = format!("[route extra]\npath = /extra{at}\nservice = ledger\n");
        let plan = mesh.plan(&mesh.ann, &base, &mesh.base_intent(&extra));
        mesh.store(&plan);
        mesh.confirm(&plan);
    }
}

fn append_checkpoint(mesh: &mut Mesh) {
    let record = mesh.reader(1_000).to_checkpoint();
    mesh.append(record.to_string());
}

#[test]
fn empty_log_is_caught_up() {
    let reader = Mesh::new().reader(10);
    assert!(reader.is_caught_up());
    assert_eq!(reader.checkpoint_due(), None);
}

#[test]
fn batch_size_does_not_affect_state() {
    let mut mesh = Mesh::started();
    append_changes(&mut mesh, 3);
    append_checkpoint(&mut mesh);
    append_changes(&mut mesh, 3);
    let want = mesh.replay().0.checkpoint();
    for limit in 1..=mesh.log.len() + 1 {
        assert_eq!(mesh.reader(limit).state().checkpoint(), want);
    }
}

#[test]
fn delayed_and_duplicate_batches_are_ignored() {
    let mut mesh = Mesh::started();
    append_changes(&mut mesh, 2);
    let mut reader = mesh.reader(2);
    let want = reader.state().checkpoint();
    reader.apply_batch(&mesh.batch(LogOffset(0), 3));
    reader.apply_batch(&mesh.batch(LogOffset(5), 3));
    assert_eq!(reader.state().checkpoint(), want);
}

#[test]
fn new_reader_starts_from_checkpoint() {
    let mut mesh = Mesh::started();
    append_changes(&mut mesh, 3);
    append_checkpoint(&mut mesh);
    append_changes(&mut mesh, 2);
    let want = mesh.replay().0.checkpoint();
    mesh.earliest = 8;
    let reader = mesh.reader(3);
    assert!(reader.is_caught_up());
    assert_eq!(reader.state().checkpoint(), want);
}

#[test]
fn long_log_is_searched_from_the_end() {
    let mut mesh = Mesh::started();
    for _ in 0..2_000 {
        mesh.append("not a record".to_owned());
    }
    append_checkpoint(&mut mesh);
    let mut reader = LogReader::new(mesh.trust.clone());
    reader.apply_batch(&mesh.batch(LogOffset(0), 1));
    assert!(reader.next() > LogOffset(1_700));
    mesh.read(&mut reader, 100);
    assert_eq!(reader.state().checkpoint(), mesh.replay().0.checkpoint());
}

#[test]
fn search_continues_to_first_record() {
    let mut mesh = Mesh::started();
    for _ in 0..3_000 {
        mesh.append("not a record".to_owned());
    }
    let reader = mesh.reader(100);
    assert_eq!(reader.state().checkpoint(), mesh.replay().0.checkpoint());
}

#[test]
fn repeated_checkpoints_from_several_daemons() {
    let mut mesh = Mesh::started();
    let first = mesh.reader(10).to_checkpoint().to_string();
    append_changes(&mut mesh, 1);
    let second = mesh.reader(10).to_checkpoint().to_string();
    append_changes(&mut mesh, 1);
    for record in [&second, &first, &second, &first] {
        mesh.append(record.clone());
    }
    let want = mesh.replay().0.checkpoint();
    assert_eq!(want.version, Version(6));
    mesh.earliest = 3;
    assert_eq!(mesh.reader(2).state().checkpoint(), want);
}

#[test]
fn forged_checkpoint_is_ignored() {
    let mut mesh = Mesh::started();
    let mut forged = mesh.replay().0.checkpoint();
    forged.version = Version(90);
    let other = Trust::new(
        mesh.root.operator().clone(),
        mesh.root.public(),
        &MeshKey::new([8; 32]),
    );
    mesh.append(Record::Checkpoint(SealedCheckpoint::seal(forged, &other)).to_string());
    let mut ahead = mesh.replay().0.checkpoint();
    ahead.next = LogOffset(1_000);
    mesh.append(Record::Checkpoint(SealedCheckpoint::seal(ahead, &mesh.trust)).to_string());
    let (state, decisions) = mesh.replay();
    let reason = IgnoreReason::BadSeal;
    assert_eq!(decisions[2], Decision::Ignored { reason });
    assert_eq!(decisions[3], Decision::Ignored { reason });
    assert_eq!(state.config().version, Version(2));
}

#[test]
fn checkpoint_is_due_after_many_records() {
    let mut mesh = Mesh::started();
    let reader = mesh.reader(100);
    assert_eq!(reader.checkpoint_due(), None);
    for _ in 0..70 {
        mesh.append("not a record".to_owned());
    }
    assert_eq!(
        mesh.reader(100).checkpoint_due(),
        Some(CheckpointCause::Records)
    );
    append_checkpoint(&mut mesh);
    assert_eq!(mesh.reader(100).checkpoint_due(), None);
}

/// If the only checkpoint is trimmed while the log is idle, another one is due.
#[test]
fn trimmed_checkpoint_is_replaced() {
    let mut mesh = Mesh::started();
    append_checkpoint(&mut mesh);
    let mut reader = mesh.reader(100);
    mesh.earliest = 3;
    mesh.read(&mut reader, 100);
    assert_eq!(reader.checkpoint_due(), Some(CheckpointCause::Missing));
    mesh.append(reader.to_checkpoint().to_string());
    mesh.read(&mut reader, 100);
    assert_eq!(reader.checkpoint_due(), None);
    let new_reader = mesh.reader(100);
    assert_eq!(new_reader.state().checkpoint(), reader.state().checkpoint());
}

/// A reader whose next records were trimmed continues from a checkpoint and never returns an older
/// version.
#[test]
fn trimmed_reader_never_returns_older_version() {
    let mut mesh = Mesh::started();
    append_checkpoint(&mut mesh);
    append_changes(&mut mesh, 2);
    let mut reader = mesh.reader(100);
    let held = reader.config().version;
    append_changes(&mut mesh, 1);
    append_checkpoint(&mut mesh);
    mesh.earliest = mesh.log.len() as u64 - 1;
    reader.apply_trim(LogOffset(mesh.earliest));
    assert_eq!(reader.config().version, held);
    mesh.read(&mut reader, 1);
    assert_eq!(reader.config().version, Version(mesh.earliest));
    assert!(reader.is_caught_up());
}

/// If all records are trimmed, the configuration of a daemon restores the log.
#[test]
fn empty_log_is_restored_from_observed_config() {
    let mut mesh = Mesh::started();
    append_changes(&mut mesh, 2);
    let held = mesh.reader(100).config();
    mesh.earliest = mesh.log.len() as u64;
    let mut reader = LogReader::new(mesh.trust.clone());
    mesh.read(&mut reader, 10);
    assert!(reader.is_missing_base() && !reader.is_caught_up());
    reader.observe_config(&held);
    assert_eq!(reader.config(), held);

    let record = reader.to_restoration().unwrap().to_string();
    mesh.append(record);
    mesh.read(&mut reader, 10);
    assert!(reader.is_caught_up() && reader.to_restoration().is_none());
    assert_eq!(*reader.state().config(), *held);
    assert_eq!(
        mesh.reader(10).state().checkpoint(),
        reader.state().checkpoint()
    );
}

#[test]
fn plans_from_before_a_restoration_are_rejected() {
    let mut mesh = Mesh::started();
    let intent = mesh.base_intent("[route late]\npath = /late\nservice = desk\n");
    let late = mesh.plan(&mesh.ann, &mesh.config(), &intent);
    append_changes(&mut mesh, 1);
    let held = mesh.reader(100).config();
    mesh.earliest = mesh.log.len() as u64;
    let mut reader = LogReader::new(mesh.trust.clone());
    mesh.read(&mut reader, 10);
    reader.observe_config(&held);
    mesh.append(reader.to_restoration().unwrap().to_string());
    mesh.confirm(&late);
    let decided = mesh.read(&mut reader, 10);
    let rejection = common::explain(&decided.last().unwrap().decision);
    assert!(
        rejection.contains("was restored at version 4"),
        "{rejection}"
    );
    // A new plan is accepted.
    let again = mesh.plan(&mesh.ann, &reader.config(), &intent);
    mesh.confirm(&again);
    let decided = mesh.read(&mut reader, 10);
    assert!(common::accepted(&decided[0].decision).is_some());
}

/// If several daemons restore different versions at once, every reader ends with the highest.
#[test]
fn highest_restoration_wins() {
    let mut mesh = Mesh::started();
    let old = mesh.reader(100).config();
    append_changes(&mut mesh, 2);
    let new = mesh.reader(100).config();
    mesh.earliest = mesh.log.len() as u64;
    let lost = |held: &Arc<_>| {
        let mut reader = LogReader::new(mesh.trust.clone());
        mesh.read(&mut reader, 10);
        reader.observe_config(held);
        reader
    };
    let mut readers = [lost(&old), lost(&new), lost(&new)];
    for reader in &readers {
        let record = reader.to_restoration().unwrap().to_string();
        mesh.append(record);
    }
    for reader in &mut readers {
        mesh.read(reader, 1);
        assert_eq!(reader.config(), new);
        assert_eq!(*reader.state().config(), *new);
    }
    assert_eq!(*mesh.reader(10).state().config(), *new);
}

/// A daemon with a later version than the restored log leads to restores its version.
#[test]
fn higher_observed_version_is_restored() {
    let mut mesh = Mesh::started();
    let old = mesh.reader(100).config();
    append_changes(&mut mesh, 2);
    let new = mesh.reader(100).config();
    mesh.earliest = mesh.log.len() as u64;
    let mut first = LogReader::new(mesh.trust.clone());
    mesh.read(&mut first, 10);
    first.observe_config(&old);
    mesh.append(first.to_restoration().unwrap().to_string());
    mesh.read(&mut first, 10);

    let mut second = mesh.reader(10);
    assert!(second.to_restoration().is_none());
    second.observe_config(&new);
    assert_eq!(second.config(), new);
    mesh.append(second.to_restoration().unwrap().to_string());
    for reader in [&mut first, &mut second] {
        mesh.read(reader, 10);
        assert_eq!(*reader.state().config(), *new);
        assert!(reader.to_restoration().is_none());
    }
}

/// An observed version whose confirmation has not been read yet needs no restoration.
#[test]
fn lagging_reader_restores_nothing() {
    let mut mesh = Mesh::started();
    let mut reader = mesh.reader(100);
    append_changes(&mut mesh, 1);
    reader.observe_config(&mesh.reader(100).config());
    assert!(reader.to_restoration().is_none());
    mesh.read(&mut reader, 10);
    assert!(reader.to_restoration().is_none());
    assert_eq!(reader.state().config().version, Version(4));
}

/// A checkpoint always fits into a record of the log, however many plans are pending.
#[test]
fn checkpoint_of_large_state_fits_into_record() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    for at in 0..200 {
        let mut extra = String::new();
        for row in 0..40 {
            let path = format!("/{}", "x".repeat(150));
            let _ = writeln!(extra, "[route r{row}]\npath = {path}{row}\nservice = desk");
        }
        let intent = mesh.base_intent(&extra.replace("[route r", &format!("[route r{at}-")));
        let plan = mesh.plan(&mesh.ann, &base, &intent);
        mesh.store(&plan);
    }
    let reader = mesh.reader(1_000);
    assert!(reader.state().pending().len() > 10);
    let record = reader.to_checkpoint().to_string();
    assert!(record.len() <= 1_000_000, "{}", record.len());
    mesh.append(record);
    mesh.earliest = mesh.log.len() as u64 - 1;
    assert_eq!(mesh.reader(10).config(), reader.config());
}

#[test]
fn configuration_size_is_limited() {
    let mut text = String::from("[service desk]\n");
    for row in 0..1_000 {
        let path = "x".repeat(500);
        let _ = writeln!(text, "[route r{row}]\npath = /{path}{row}\nservice = desk");
    }
    let faults = marigold_config::Intent::parse("mesh.ini", &text).unwrap_err();
    assert!(faults.to_string().contains("400000 bytes"), "{faults}");
}

/// Rejections of an operator without permission must not fill the table of outcomes.
#[test]
fn rejections_do_not_fill_outcome_table() {
    let mut mesh = Mesh::started();
    let intent = mesh.base_intent("[service billing]\n");
    let base = mesh.config();
    let plan = mesh.plan(&mesh.bob, &base, &intent);
    for _ in 0..1_500 {
        mesh.confirm(&plan);
    }
    let good = mesh.plan(&mesh.ann, &base, &intent);
    mesh.confirm(&good);
    let (state, decisions) = mesh.replay();
    assert!(common::accepted(decisions.last().unwrap()).is_some());
    let checkpoint = serde_json::to_string(&state.checkpoint()).unwrap();
    assert!(checkpoint.len() < 400_000, "{}", checkpoint.len());
}

/// Final outcomes are kept until they expire. When the table is full, confirmations are rejected
/// until some have expired.
#[test]
fn final_outcomes_are_bounded() {
    let mut mesh = Mesh::started();
    let base = mesh.config();
    let name = "x".repeat(64);
    let row = |at: u32| format!("[route {name}]\npath = /extra{at}\nservice = desk\n");
    for at in 0..1_700 {
        let plan = mesh.plan(&mesh.ann, &base, &mesh.base_intent(&row(at)));
        mesh.confirm(&plan);
    }
    let (state, decisions) = mesh.replay();
    assert!(common::accepted(&decisions[2]).is_some());
    assert!(common::explain(&decisions[3]).contains("has changed since"));
    let rejection = common::explain(decisions.last().unwrap());
    assert!(rejection.contains("too many plans"), "{rejection}");
    let checkpoint = serde_json::to_string(&state.checkpoint()).unwrap();
    assert!(checkpoint.len() < 600_000, "{}", checkpoint.len());

    mesh.time += 2 * common::HOUR;
    let later = mesh.plan(&mesh.ann, &state.config(), &mesh.base_intent(&row(9_999)));
    mesh.confirm(&later);
    assert!(common::accepted(mesh.replay().1.last().unwrap()).is_some());
}

/// A restoration appended during the search of a new reader must not be missed.
#[test]
fn restoration_during_the_search_is_found() {
    let mut mesh = Mesh::started();
    let held = mesh.reader(100).config();
    for _ in 0..10 {
        mesh.append("not a record".to_owned());
    }
    mesh.earliest = 4;
    let mut other = mesh.reader(100);
    other.observe_config(&held);
    let record = other.to_restoration().unwrap().to_string();

    let mut reader = LogReader::new(mesh.trust.clone());
    reader.apply_trim(LogOffset(4));
    reader.apply_batch(&mesh.batch(reader.next(), 2));
    reader.apply_batch(&mesh.batch(reader.next(), 2));
    mesh.append(record);
    mesh.read(&mut reader, 2);
    assert!(reader.is_caught_up());
    assert_eq!(reader.config(), held);
}

/// If the confirmation of the restored version is still in the log, it is not applied again.
#[test]
fn confirmation_of_restored_version_is_not_applied_again() {
    let mut mesh = Mesh::started();
    let intent = mesh.base_intent("[route late]\npath = /late\nservice = desk\n");
    let plan = mesh.plan(&mesh.ann, &mesh.config(), &intent);
    let offset = mesh.confirm(&plan);
    let held = mesh.reader(100).config();
    mesh.earliest = offset.0;
    let mut reader = mesh.reader(100);
    assert!(reader.is_missing_base());
    reader.observe_config(&held);
    mesh.append(reader.to_restoration().unwrap().to_string());
    mesh.read(&mut reader, 10);
    assert_eq!(*reader.state().config(), *held);
    assert_eq!(reader.state().find_outcome(&plan.plan.id()), None);
}
