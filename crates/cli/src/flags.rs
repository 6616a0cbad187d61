//! The command line.

use std::path::PathBuf;

use primrose_base::name::Name;

xflags::xflags! {
    /// Operates a fleet of routers.
    ///
    /// The fleet is changed by reviewed text: a change is a YAML file that is applied as a whole or refused as a whole.
    ///
    /// EXAMPLES:
    ///
    ///     export PRIMROSE_ADDRESSES=10.0.1.1:7100,10.0.2.1:7100 PRIMROSE_KEY_FILE=~/operator.key
    ///
    ///     primrose show > fleet.yaml         (then edit fleet.yaml)
    ///
    ///     primrose diff fleet.yaml > change.yaml
    ///
    ///     primrose check change.yaml
    ///
    ///     primrose apply change.yaml --wait
    ///
    ///     primrose drain server m1 --wait
    ///
    ///     primrose status --json
    ///
    /// EXIT CODES: 0 accepted or done, 1 refused or failed, 2 wrong usage, 3 unknown outcome (resend the same change).
    cmd primrose {
        /// Operators' addresses of daemons, IP:PORT, separated by commas; tried in order. Default: PRIMROSE_ADDRESSES
        optional --addresses list: String
        /// File with the operators' key, mode 0600. Default: the file PRIMROSE_KEY_FILE, then the key PRIMROSE_KEY
        optional --key-file path: PathBuf
        /// Print JSON
        optional --json

        /// Check a file with a configuration or a change, without a fleet.
        ///
        /// EXAMPLE: primrose check change.yaml --against fleet.yaml
        cmd check {
            /// File with a configuration or a change
            required file: PathBuf
            /// Also check whether the change can be applied to the configuration in this file
            optional --against configuration: PathBuf
        }

        /// Print the configuration that is in force.
        ///
        /// EXAMPLE: primrose show > fleet.yaml
        cmd show {}

        /// Print the change that leads from the fleet's configuration to the one in a file.
        ///
        /// The file has to be made from the version that is in force, so that nobody's change is undone unseen.
        ///
        /// EXAMPLE: primrose diff fleet.yaml --id add-stock > change.yaml
        cmd diff {
            /// File with a configuration, made by `primrose show` and edited
            required file: PathBuf
            /// Change id; random if left out
            optional --id id: Name
        }

        /// Submit a change.
        ///
        /// EXAMPLE: primrose apply change.yaml --wait
        cmd apply {
            /// File with a change
            required file: PathBuf
            /// Wait until the change is in force on every reachable host, at most 20 s, and report on how many it is
            optional --wait
        }

        /// Give a server or a host no new work.
        ///
        /// EXAMPLE: primrose drain server m1 --wait
        cmd drain {
            /// Change id; random if left out
            optional --id id: Name
            /// Version that the change is for; the current one if left out
            optional --base version: u64
            /// Wait until the change is in force on every reachable host, at most 20 s, and report on how many it is
            optional --wait

            /// Drain a backend server.
            cmd server {
                /// Name of the server
                required name: Name
            }

            /// Drain a host.
            cmd host {
                /// Name of the host
                required name: Name
            }
        }

        /// Give an order to the engine of a backend server, or list the orders.
        ///
        /// EXAMPLE: primrose order load-model m1 plum-8b
        cmd order {
            /// Order id; random if left out
            optional --id id: Name

            /// Load a model.
            cmd load-model {
                /// Name of the server
                required server: Name
                /// Name of the model
                required model: String
            }

            /// Load an adapter for a model.
            cmd load-adapter {
                /// Name of the server
                required server: Name
                /// Name of the model
                required model: String
                /// Name of the adapter
                required adapter: String
            }

            /// Load another version of a model.
            cmd load-version {
                /// Name of the server
                required server: Name
                /// Name of the model
                required model: String
                /// The version
                required version: String
            }

            /// Change the role of an engine.
            cmd change-role {
                /// Name of the server
                required server: Name
                /// The role, such as prefill or decode
                required role: String
            }

            /// List the recorded orders and what became of them.
            cmd list {}
        }

        /// Print the hosts and the state of the log.
        ///
        /// EXAMPLE: primrose status
        cmd status {}

        /// Print shares, queues and service of the accounts.
        ///
        /// EXAMPLE: primrose accounts --json
        cmd accounts {}

        /// Print the counters of the daemon that answers first.
        ///
        /// EXAMPLE: primrose counters --addresses 10.0.1.1:7100
        cmd counters {}
    }
}
