use std::path::PathBuf;

xflags::xflags! {
    /// Overload control for service call graphs. See docs/OPERATORS.md.
    cmd nutmegwheel {
        /// Run the ingress node and sidecar of a backend server on this VM.
        cmd node {
            /// The settings file, JSON with comments.
            required --settings settings: PathBuf
        }
        /// Run a control VM, which stores the replicated log on its disk.
        cmd control {
            /// The settings file, JSON with comments.
            required --settings settings: PathBuf
        }
        /// Check a settings file without starting anything.
        cmd check-settings {
            /// The settings file.
            required file: PathBuf
        }
        /// Merge the log files of any processes into one timeline.
        cmd read-logs {
            /// Log files, as the processes write them to standard output.
            repeated logs: PathBuf
            /// Only the events of this request and of the calls made for it.
            optional --request request: String
            /// Print JSON.
            optional --json
        }
        /// Operate a fleet. Every command takes --at and --secret-file.
        cmd ctl {
            /// Platform listeners (IP:PORT, separated by commas), tried in this order.
            required --at at: String
            /// The file that holds the operators' secret.
            required --secret-file secret_file: PathBuf
            /// Print JSON.
            optional --json

            /// Commit a whole configuration under a number of your choice.
            cmd apply {
                /// The configuration, JSON with comments.
                required file: PathBuf
                /// The number of the change; resend under the same one when the outcome is unknown.
                required --number number: u64
            }
            /// Show the committed configuration.
            cmd show { }
            /// Give a key, read from a file, to a workspace.
            cmd give-key {
                /// The workspace.
                required workspace: String
                /// The file that holds the key.
                required --key-file key_file: PathBuf
                /// The number of the change.
                required --number number: u64
            }
            /// Withdraw a key permanently; exit code 4 while some data centre has not confirmed.
            cmd withdraw-key {
                /// The file that holds the key.
                optional --key-file key_file: PathBuf
                /// The key's SHA-256 in hex digits, instead of the key.
                optional --hash hash: String
            }
            /// Send no more requests to the backend servers of a data centre.
            cmd evacuate {
                /// The data centre.
                required data_centre: String
            }
            /// Withdraw the order to evacuate a data centre.
            cmd readmit {
                /// The data centre.
                required data_centre: String
            }
            /// Show the evacuated data centres.
            cmd evacuations { }
            /// Show the status of every process named by --at.
            cmd status { }
            /// Merge the events of all processes named by --at into one timeline.
            cmd timeline {
                /// Only the events of this request and of the calls made for it.
                optional --request request: String
            }
        }
    }
}
