//! Definition of the command line and of its help texts.

use std::path::PathBuf;

use primrose_base::name::Name;

xflags::xflags! {
    /// Operates a fleet of routers.
    ///
    /// A change of the fleet is a YAML file, so that it can be reviewed. It is applied completely or not at all.
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
    /// EXIT CODES: 0 accepted or done, 1 refused or failed, 2 wrong usage, 3 unknown outcome (resend, same id).
    cmd primrose {
        /// Addresses of the daemons' operator interface, IP:PORT, separated by commas and tried in this order.
        /// Default: the value of PRIMROSE_ADDRESSES
        optional --addresses list: String
        /// File with the operators' key; only its owner may have access (mode 0600).
        /// Default: the file that PRIMROSE_KEY_FILE names; if it is not set, the key in PRIMROSE_KEY
        optional --key-file path: PathBuf
        /// Print the output as JSON
        optional --json

        /// Check a file with a configuration or a change, without contacting the fleet.
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

        /// Print the change that turns the configuration in force into the one in a file.
        ///
        /// The file must be based on the version in force; otherwise the change could undo later changes unnoticed.
        ///
        /// EXAMPLE: primrose diff fleet.yaml --id add-stock > change.yaml
        cmd diff {
            /// File with a configuration, made by `primrose show` and edited
            required file: PathBuf
            /// Change id; random if omitted
            optional --id id: Name
        }

        /// Submit a change.
        ///
        /// EXAMPLE: primrose apply change.yaml --wait
        cmd apply {
            /// File with a change
            required file: PathBuf
            /// Wait until the change is in force on every reachable host, but at most 20 s,
            /// and print on how many hosts it is in force
            optional --wait
        }

        /// Let a backend server or a host finish its requests and give it no new ones.
        ///
        /// EXAMPLE: primrose drain server m1 --wait
        cmd drain {
            /// Change id; random if omitted
            optional --id id: Name
            /// Version of the configuration that the change is based on; the current one if omitted
            optional --base version: u64
            /// Wait until the change is in force on every reachable host, but at most 20 s,
            /// and print on how many hosts it is in force
            optional --wait

            /// Drain a backend server.
            cmd server {
                /// Name of the backend server
                required name: Name
            }

            /// Drain a host.
            cmd host {
                /// Name of the host
                required name: Name
            }
        }

        /// Submit an order to the engine of a backend server, or list the orders.
        ///
        /// EXAMPLE: primrose order load-model m1 plum-8b
        cmd order {
            /// Order id; random if omitted
            optional --id id: Name

            /// Load a model.
            cmd load-model {
                /// Name of the backend server
                required server: Name
                /// Name of the model
                required model: String
            }

            /// Load an adapter for a model.
            cmd load-adapter {
                /// Name of the backend server
                required server: Name
                /// Name of the model
                required model: String
                /// Name of the adapter
                required adapter: String
            }

            /// Load another version of a model.
            cmd load-version {
                /// Name of the backend server
                required server: Name
                /// Name of the model
                required model: String
                /// Name of the version
                required version: String
            }

            /// Change the role of an engine.
            cmd change-role {
                /// Name of the backend server
                required server: Name
                /// Name of the new role, such as prefill or decode
                required role: String
            }

            /// List the recorded orders and their states.
            cmd list {}
        }

        /// Print the state of the log and of each host.
        ///
        /// EXAMPLE: primrose status
        cmd status {}

        /// Print the share, queued and in-flight requests and service received of each account in each pool.
        ///
        /// EXAMPLE: primrose accounts --json
        cmd accounts {}

        /// Print the counters of the daemon that answers first.
        ///
        /// EXAMPLE: primrose counters --addresses 10.0.1.1:7100
        cmd counters {}
    }
}
