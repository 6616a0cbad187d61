//! Command-line flags.

#![allow(missing_docs, unreachable_pub)] // The macro generates items without documentation.

use std::path::PathBuf;

xflags::xflags! {
    /// Router daemon of primrosearch. docs/settings.md describes the settings file.
    cmd primrosed {
        /// Settings file (YAML).
        required settings: PathBuf
        /// Only check the settings file and its key file.
        optional --check-settings
    }
}
