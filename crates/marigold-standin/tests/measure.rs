//! Pages, plots and helper functions of the measurements.

use marigold_standin::measure::{Figure, Machine, Page, Plot, Series, Usage, slope};

fn page() -> Page {
    Page {
        part: "trial".to_owned(),
        title: "Trial".to_owned(),
        command: "marigold-standin measure trial".to_owned(),
        machine: Machine::read().unwrap(),
        seconds: 1.0,
        notes: vec!["A note.".to_owned()],
        figures: vec![Figure::new("one hop", "p99", 2.0, "ms").with_baseline(0.5)],
        plots: vec![Plot {
            file: "trial-lines".to_owned(),
            title: "Lines".to_owned(),
            x: "daemons".to_owned(),
            y: "ms".to_owned(),
            series: vec![Series {
                name: "p99".to_owned(),
                points: vec![(10.0, 1.0), (20.0, 2.0)],
            }],
        }],
    }
}

#[test]
fn page_contains_figure_baseline_and_plot() {
    let folder = std::env::temp_dir().join(format!("marigold-{}", uuid::Uuid::new_v4()));
    page().write(&folder).unwrap();
    let text = std::fs::read_to_string(folder.join("trial.md")).unwrap();
    let json = std::fs::read_to_string(folder.join("trial.json")).unwrap();
    let plot = std::fs::read_to_string(folder.join("trial-lines.svg")).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(
        text.contains("| one hop | p99 | 2.00 | ms | 0.5000 | 4.00 | - |"),
        "{text}"
    );
    assert!(text.contains("![Lines](trial-lines.svg)"));
    assert_eq!(serde_json::from_str::<Page>(&json).unwrap(), page());
    assert!(plot.contains("<polyline"));
}

#[test]
fn unwritable_folder_is_reported() {
    let error = page().write("/proc/none".as_ref()).unwrap_err();
    assert!(
        error.to_string().starts_with("write at /proc/none"),
        "{error}"
    );
}

#[test]
fn slope_matches_a_straight_line() {
    assert!((slope(&[(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]) - 2.0).abs() < 1e-9);
    assert!(slope(&[(1.0, 3.0)]).abs() < 1e-9);
}

#[test]
fn usage_reports_resident_memory() {
    assert!(Usage::read().unwrap().resident_bytes > 0);
}
