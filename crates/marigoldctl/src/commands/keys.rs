//! `marigoldctl keys`.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use marigold_auth::{AuthError, Authority, MeshKey, OperatorKey, daemon_name};
use marigold_types::OperatorName;
use serde::Serialize;

use super::{file_error, read_file};
use crate::cli::{Issue, Keys};
use crate::output::{print_json, print_line};
use crate::{CtlError, Outcome};

/// The file mode of secrets: only the owner can read them.
const SECRET_MODE: u32 = 0o600;
/// The file mode of certificates.
const PUBLIC_MODE: u32 = 0o644;
const AUTHORITY: &str = "authority.pem";
const AUTHORITY_KEY: &str = "authority.key";
const MESH_KEY: &str = "mesh.key";

/// The JSON form of the result.
#[derive(Serialize)]
struct KeysMade {
    files: Vec<PathBuf>,
    /// The section to add to the settings or the intent file.
    declaration: String,
}

/// A file to create.
struct NewFile {
    path: PathBuf,
    text: String,
    mode: u32,
}

/// Makes keys and prints the names of their files and the section to declare them. Secrets are
/// written to files only.
pub fn run(keys: &Keys, json: bool) -> Result<Outcome, CtlError> {
    let made = match keys {
        Keys::Init {
            directory,
            operator,
        } => init(directory, operator)?,
        Keys::Issue(issue) => self::issue(issue)?,
        Keys::Operator { name, directory } => operator(name, directory)?,
    };
    if json {
        print_json(&made)?;
    } else {
        for file in &made.files {
            print_line!("wrote {}", file.display());
        }
        print_line!("\n{}", made.declaration);
    }
    Ok(Outcome::Done)
}

fn init(directory: &Path, operator: &OperatorName) -> Result<KeysMade, CtlError> {
    let wrap = |error| key_error(directory, error);
    std::fs::create_dir_all(directory).map_err(|error| file_error("make", directory, &error))?;
    let authority = Authority::generate().map_err(wrap)?.to_credentials();
    let mesh = MeshKey::generate().map_err(wrap)?;
    let root = OperatorKey::generate(operator.clone()).map_err(wrap)?;
    let file = |name: &str, text: String, mode| NewFile {
        path: directory.join(name),
        text,
        mode,
    };
    let files = create_all(vec![
        file(AUTHORITY, authority.certificate, PUBLIC_MODE),
        file(AUTHORITY_KEY, authority.key, SECRET_MODE),
        file(MESH_KEY, mesh.to_file_text(), SECRET_MODE),
        file(&key_file(operator), root.to_file_text(), SECRET_MODE),
    ])?;
    let declaration = format!(
        "; for the settings of every daemon of this mesh\n[trust]\noperator = {operator}\nkey = {}",
        root.public()
    );
    Ok(KeysMade { files, declaration })
}

fn issue(issue: &Issue) -> Result<KeysMade, CtlError> {
    let directory = &issue.directory;
    let (certificate_path, key_path) = (directory.join(AUTHORITY), directory.join(AUTHORITY_KEY));
    let certificate = read_file(&certificate_path)?;
    let key = read_file(&key_path)?;
    let authority =
        Authority::from_pem(&certificate, &key).map_err(|error| key_error(&key_path, error))?;
    let issued = authority
        .issue(issue.address)
        .map_err(|error| key_error(&certificate_path, error))?;
    let name = daemon_name(issue.address);
    let name = name.split('.').next().unwrap_or_default();
    let file = |end: &str, text: String, mode| NewFile {
        path: directory.join(format!("{name}.{end}")),
        text,
        mode,
    };
    let files = create_all(vec![
        file("pem", issued.certificate, PUBLIC_MODE),
        file("key", issued.key, SECRET_MODE),
    ])?;
    let declaration = format!(
        "; for the settings of daemon {}\n[tls]\nauthority = {}\ncertificate = {}\nkey = {}\n\
        mesh_key = {}",
        issue.address,
        certificate_path.display(),
        files[0].display(),
        files[1].display(),
        directory.join(MESH_KEY).display()
    );
    Ok(KeysMade { files, declaration })
}

fn operator(name: &OperatorName, directory: &Path) -> Result<KeysMade, CtlError> {
    let path = directory.join(key_file(name));
    let key = OperatorKey::generate(name.clone()).map_err(|error| key_error(&path, error))?;
    let files = create_all(vec![NewFile {
        path,
        text: key.to_file_text(),
        mode: SECRET_MODE,
    }])?;
    let declaration = format!(
        "; for the intent\n[operator {name}]\nkey = {}",
        key.public()
    );
    Ok(KeysMade { files, declaration })
}

fn key_file(operator: &OperatorName) -> String {
    format!("{operator}.operator.json")
}

/// Creates all files or none. Existing files are never overwritten, since their keys may be in use.
fn create_all(files: Vec<NewFile>) -> Result<Vec<PathBuf>, CtlError> {
    let mut written = Vec::new();
    for file in files {
        if let Err(error) = create_file(&file) {
            for path in &written {
                // A file that cannot be removed stays; the error below names the directory.
                let _ = std::fs::remove_file(path);
            }
            return Err(file_error("write", &file.path, &error));
        }
        written.push(file.path);
    }
    Ok(written)
}

fn create_file(file: &NewFile) -> std::io::Result<()> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(file.mode);
    let mut handle = options.open(&file.path)?;
    handle.write_all(file.text.as_bytes())?;
    handle.write_all(b"\n")?;
    handle.sync_all()
}

fn key_error(path: &Path, error: AuthError) -> CtlError {
    CtlError::Key {
        path: path.to_owned(),
        error,
    }
}
