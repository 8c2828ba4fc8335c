//! Definition of the command line. The doc comments of commands and flags are the help texts that users see.

use std::path::PathBuf;

xflags::xflags! {
    /// Command line for operators and testers of medlarpost.
    ///
    /// Examples:
    ///   medlarctl demo
    ///   medlarctl keys owner --out first.key
    ///   medlarctl bundle check examples/tunelix.toml --nodes 5
    ///   medlarctl bundle build examples/tunelix.toml --out bundle
    ///   medlarctl bundle sign bundle --key first.key
    ///   medlarctl explain 9c41d07be2a35f68 node-1.log node-2.log
    ///   medlarctl where --address 10.0.0.5:9464 --token-file admin.token --host shop.example --path /search/x
    ///   medlarctl status --address 127.0.0.1:8081 --token-file admin.token
    ///
    /// Exit codes: 0 for success, 1 for an error, 2 for a command line that can't be used.
    cmd medlarctl {
        /// Run nodes, a fake platform and fake upstreams in this process, and report on the answers.
        cmd demo {
            /// tunelix or alliance (default tunelix)
            optional --deployment deployment: String
            /// Seconds under load that are measured, after 5 seconds of warm-up (default: by fault)
            optional --seconds seconds: u64
            /// Seed of the load, the fakes and the schedule (default 1)
            optional --seed seed: u64
            /// Queries a second (default 0.4 of the capacity of the upstreams)
            optional --rate rate: u32
            /// none, straggler, cold-start, silent-cold, zone-out, zone-return, leaving, crash-request,
            /// silent-connection, repartition, platform-down, platform-stale, partition, pause, rolling-stop, overload
            /// or random (default none)
            optional --fault fault: String
            /// Switch the policy off, for comparison; violated invariants don't count as failure then
            optional --baseline
            /// Run with and without the policy and print both columns
            optional --compare
            /// Print one JSON object
            optional --json
        }
        /// Print the log lines of one request, with the state changes of its node that may have decided it.
        cmd explain {
            /// Id of the caller's attempt
            required id: String
            /// Log files of one or more nodes (default: standard input)
            repeated file: PathBuf
        }
        /// Run nodes on stand-ins of the users' platform, each a process of its own, and inject random faults from
        /// outside, for each seed in turn; exits with 1 at the first seed with a violated invariant.
        cmd soak {
            /// Seed, or seeds FIRST..LAST with LAST included (default 1)
            optional --seeds seeds: String
            /// Seconds under load for each seed, 20 or more; no fault begins in the last 15 (default 45)
            optional --seconds seconds: u64
            /// Nodes, 1 to 200 (default 3)
            optional --nodes count: usize
            /// Shards in each of the two sets of shards (default 3)
            optional --shards count: usize
            /// Upstreams of each service (default 2)
            optional --replicas count: usize
            /// Callers (default 12)
            optional --callers count: usize
            /// Directory for settings and logs (default: the system's for temporary files)
            optional --logs directory: PathBuf
            /// The node's program (default: medlarpost beside this program)
            optional --program file: PathBuf
            /// Print one JSON object for each seed
            optional --json
        }
        /// Run a stand-in of the store of the users' platform, which takes commands on standard input and exits when
        /// that closes.
        cmd stand-in-store {
            /// Address to listen on, IP:PORT
            required --address address: String
        }
        /// Run a stand-in of an upstream on the users' platform, which prints the requests that it runs, takes commands
        /// on standard input and exits when that closes.
        cmd stand-in-upstream {
            /// Address to listen on, IP:PORT
            required --address address: String
            /// Name of the instance; a restarted upstream has another
            required --instance instance: String
            /// Requests run at a time (default 3)
            optional --slots slots: u32
            /// Time that a request takes, in milliseconds (default 8)
            optional --work-ms ms: u64
        }
        /// Kill the nodes that a soak left running when it ended; started by the soak.
        cmd soak-guard {
        }
        /// Run a fake platform that serves the files of a directory and publishes their changes: envelope.toml, the
        /// bundle's parts as files in parts/, and vms.json.
        cmd fake-platform {
            /// Address to listen on, IP:PORT; port 0 takes a free one, which is printed
            required --address address: String
            /// Directory with the files
            required --directory directory: String
        }
        /// Run a fake upstream, which prints what it does. A query text that starts with "crash" makes it crash.
        cmd fake-upstream {
            /// Name of the upstream
            required --name name: String
            /// Address to listen on, IP:PORT; port 0 takes a free one, which is printed
            required --address address: String
            /// Requests run at a time (default 3)
            optional --slots slots: u32
            /// Mean time to run a request, in milliseconds (default 10)
            optional --service-ms ms: u64
            /// Connections accepted at a time (default 30)
            optional --connections connections: u32
        }
        /// Measure the cost of a fleet without load: nodes and a fake platform in this process.
        cmd measure-control {
            /// Nodes (default 4)
            optional --nodes count: usize
            /// Seconds without load (default 10)
            optional --seconds seconds: u64
            /// Changes of which the time until they are in force on all nodes is measured (default 20)
            optional --changes count: u32
        }
        /// Generate keys and tokens from the system's random source. The secret goes to standard output, or to a new
        /// file that only its owner can read; the public key or hash goes to standard output.
        cmd keys {
            /// Signing key of one owner; prints the public key for the nodes' settings
            cmd owner {
                /// New file for the secret
                optional --out file: PathBuf
            }
            /// Token of a tenant; prints the hash for token_sha256 of the bundle
            cmd tenant {
                /// New file for the secret
                optional --out file: PathBuf
            }
            /// Key that the nodes share; prints its digest, to compare between VMs
            cmd fleet {
                /// New file for the secret
                optional --out file: PathBuf
            }
            /// Token of the administrators; prints its digest, to compare between VMs
            cmd admin {
                /// New file for the secret
                optional --out file: PathBuf
            }
        }
        /// Print the state of a node.
        cmd status {
            /// Address of the node's administrators' listener, IP:PORT
            required --address address: String
            /// File with the administrators' token; the variable MEDLARCTL_ADMIN_TOKEN works too
            optional --token-file file: PathBuf
            /// File with the PEM root certificates of the node's listener; without it, plain HTTP
            optional --roots file: PathBuf
            /// Print the JSON as the node sent it
            optional --json
        }
        /// Print what a node would do with a request now: the route, what the node knows about each replica and how old
        /// that is, and the choice or the refusal. Nothing is sent, and the node's state does not change.
        cmd where {
            /// Address of the node's metrics page, IP:PORT. It answers if MEDLARPOST_ADMIN_TOKEN is set for the node
            required --address address: String
            /// Host that the request names
            required --host host: String
            /// Path and query string
            required --path path: String
            /// HTTP method (default GET)
            optional --method method: String
            /// Workspace of the caller
            optional --workspace name: String
            /// File with the caller's key instead; only its SHA-256 digest is sent
            optional --key-file file: PathBuf
            /// Time that the caller waits, in milliseconds (default: the route's time-out)
            optional --deadline-ms ms: u64
            /// File with the administrators' token; the variable MEDLARCTL_ADMIN_TOKEN works too
            optional --token-file file: PathBuf
            /// File with the PEM root certificates of the node's listener; without it, plain HTTP
            optional --roots file: PathBuf
            /// Print the JSON as the node sent it
            optional --json
        }
        /// Send searches and bookings to a running fleet at fixed intended times and report on the answers.
        cmd load {
            /// Callers' listener of a node, IP:PORT; may be given several times
            repeated --target address: String
            /// File with NAME:TOKEN or NAME:TOKEN:WEIGHT, one a line; the variable MEDLARCTL_TENANTS works too
            optional --tenants-file file: PathBuf
            /// File with the PEM root certificates of the node's listener; without it, plain HTTP
            optional --roots file: PathBuf
            /// Name of the search service
            required --search service: String
            /// Name of the booking service
            optional --booking service: String
            /// Share of bookings among the requests, 0 to 1 (default 0)
            optional --booking-share share: f64
            /// Requests a second, 1 to 20000 (default 100)
            optional --rate rate: u32
            /// Seconds under load, 1 to 3600 (default 10)
            optional --seconds seconds: u64
            /// Deadline of each request in milliseconds, 1 to 60000 (default 1000)
            optional --deadline-ms ms: u64
            /// Seed of the mix of requests (default 1)
            optional --seed seed: u64
            /// Print one JSON object
            optional --json
        }
        /// Check, build, sign, verify, compare and show bundles.
        cmd bundle {
            /// Print all faults of a bundle; exit code 1 if there are any
            cmd check {
                /// TOML file of the bundle
                required bundle: PathBuf
                /// Bundle in force, to check the change from it as well
                optional --previous file: PathBuf
                /// Nodes of the fleet, to check that the upstreams have connections for all of them
                optional --nodes count: u32
            }
            /// Check a bundle, split it into parts, and write DIR/envelope.toml and DIR/parts/DIGEST
            cmd build {
                /// TOML file of the bundle
                required bundle: PathBuf
                /// Directory to write
                required --out dir: PathBuf
                /// Bundle in force, to check the change from it as well
                optional --previous file: PathBuf
                /// Nodes of the fleet, to check that the upstreams have connections for all of them
                optional --nodes count: u32
            }
            /// Check a bundle, add one owner's signature to DIR/envelope.toml, and print what was approved
            cmd sign {
                /// Directory that `bundle build` wrote
                required dir: PathBuf
                /// File with the owner's secret key; the variable MEDLARCTL_OWNER_KEY works too
                optional --key file: PathBuf
            }
            /// Check both signatures, all parts and the bundle
            cmd verify {
                /// Directory that `bundle build` wrote
                required dir: PathBuf
                /// Public key of the first owner, 64 hexadecimal digits
                required --first-owner key: String
                /// Public key of the second owner, 64 hexadecimal digits
                required --second-owner key: String
            }
            /// Print the effect of publishing NEW after OLD; exit code 1 for a dangerous change without consent
            cmd diff {
                /// Bundle in force: a TOML file, or a directory that `bundle build` wrote
                required old: PathBuf
                /// Bundle to publish: a TOML file, or a directory that `bundle build` wrote
                required new: PathBuf
                /// Print one JSON object
                optional --json
            }
            /// Print a bundle that is split into parts as one TOML text
            cmd show {
                /// Directory that `bundle build` wrote
                required dir: PathBuf
            }
        }
    }
}
