//! The samples that the pages tell readers to use are accepted.

use std::path::{Path, PathBuf};

use marigold_settings::Settings;
use marigold_standin::fleet::Customer;

/// What `marigoldctl keys init` prints and the pages add to a sample.
const TRUST: &str = "\n[trust]\noperator = root\n\
    key = 2237da886a2d7688906226038ba2d99b0cff91d292f152ddf4d2f006f6b58fa6\n";

fn samples(customer: Customer) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let files = std::fs::read_dir(root.join(customer.name())).unwrap();
    let files = files.map(|file| file.unwrap().path());
    files.filter(|path| !path.ends_with("mesh.ini")).collect()
}

#[test]
fn intents_are_accepted() {
    for customer in Customer::ALL {
        let first = customer.intent().unwrap();
        assert_ne!(first, customer.changed_intent().unwrap());
    }
}

#[test]
fn settings_are_accepted() {
    for customer in Customer::ALL {
        let files = samples(customer);
        assert_eq!(files.len(), 3, "{files:?}");
        for path in files {
            let text = std::fs::read_to_string(&path).unwrap() + TRUST;
            let settings = Settings::parse("sample", &text).unwrap();
            assert_eq!(settings.control.profile, customer.profile());
            let name = path.file_stem().unwrap().to_str().unwrap();
            assert_eq!(settings.daemon.data_centre.as_str(), name);
        }
    }
}
