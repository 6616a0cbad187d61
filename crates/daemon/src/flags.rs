//! Command-line flags.

#![allow(missing_docs, unreachable_pub)] // The macro generates items without documentation.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs a router daemon of primrosearch. docs/settings.md describes the settings file.
    cmd primrosed {
        /// Settings file (YAML).
        required settings: PathBuf
        /// Checks the settings file and the key file that it names, and exits.
        optional --check-settings
    }
}
