use std::path::PathBuf;

xflags::xflags! {
    /// The demo and the measurements of nutmegwheel. See docs/MEASURE.md.
    cmd nutmegwheel-bench {
        /// Show a request, an overload and a withdrawal on a local fleet, in about 20 s.
        cmd demo { }
        /// Measure the system against its targets.
        cmd measure {
            /// Run load and fault scenarios on the system and on a baseline of plain forwarders.
            cmd scenarios {
                /// Names or numbers of scenarios, separated by commas (default all).
                optional --only only: String
                /// `skaititajs` or `kawayan` (default both).
                optional --deployment deployment: String
                /// `ours` or `baseline` (default both).
                optional --system system: String
                /// Runs of each scenario, each with the next seed (default 3).
                optional --rounds rounds: u64
                /// The first seed (default 1).
                optional --seed seed: u64
                /// Print JSON.
                optional --json
                /// A folder to which the events of all processes are written after each run.
                optional --events events: PathBuf
            }
            /// Measure the latency that two nodes add to a call, and the resource use of a node.
            cmd added {
                /// The seed (default 1).
                optional --seed seed: u64
                /// Print JSON.
                optional --json
            }
            /// Measure what callers cost that do not read their answers.
            cmd readers {
                /// The setting `max_memory_mb` of the nodes (default none).
                optional --memory memory: usize
            }
            /// Measure the resource use of a node and of a control VM as the fleet grows.
            cmd slopes {
                /// Fleet sizes in nodes, separated by commas (default 6,24,60).
                optional --nodes nodes: String
                /// Print JSON.
                optional --json
            }
        }
    }
}
