use std::path::PathBuf;

xflags::xflags! {
    /// The demo and the measurements of nutmegwheel. See docs/MEASURE.md.
    cmd nutmegwheel-bench {
        /// Show a request, an overload and a withdrawal on a local fleet, in about 20 s.
        cmd demo { }
        /// Measure the system against its targets.
        cmd measure {
            /// Load and faults, side by side with a baseline of plain forwarders.
            cmd scenarios {
                /// The names or numbers of scenarios, separated by commas; all when absent.
                optional --only only: String
                /// `skaititajs` or `kawayan`; both when absent.
                optional --deployment deployment: String
                /// `ours` or `baseline`; both when absent.
                optional --system system: String
                /// How often each is run, each time with the next seed (default 3).
                optional --rounds rounds: u64
                /// The first seed (default 1).
                optional --seed seed: u64
                /// Print JSON.
                optional --json
                /// A folder for the events of all processes after each run.
                optional --events events: PathBuf
            }
            /// The time that two nodes add to a call, and what a node uses.
            cmd added {
                /// The seed (default 1).
                optional --seed seed: u64
                /// Print JSON.
                optional --json
            }
            /// What a node and a control VM use as the fleet grows.
            cmd slopes {
                /// Numbers of nodes, separated by commas (default 6,24,60).
                optional --nodes nodes: String
                /// Print JSON.
                optional --json
            }
        }
    }
}
