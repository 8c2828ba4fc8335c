//! Command line flags of the `medlarpost` program. The doc comments are printed by `--help`.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs a node of the medlarpost query tier. Each flag can also be set by an environment variable: MEDLARPOST_ and
    /// the name in capitals with underscores. A flag takes precedence over its variable.
    ///
    /// Example:
    ///   MEDLARPOST_ADMIN_TOKEN=... MEDLARPOST_FLEET_KEY=... medlarpost --name node-1 --zone pl-a --caller-address 127.0.0.1:8080
    ///     --admin-address 127.0.0.1:8081 --link-address 127.0.0.1:8082 --platform 127.0.0.1:8090 --first-owner KEY --second-owner KEY
    ///
    /// TLS is configured only by variables, which hold PEM text: MEDLARPOST_TLS_CERTIFICATE and MEDLARPOST_TLS_KEY for
    /// both listeners (both or neither), MEDLARPOST_UPSTREAM_ROOTS for upstreams with tls = true.
    ///
    /// Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 if the node can't run, 2 if settings are missing or
    /// invalid; each of them is then reported on standard error.
    cmd medlarpost {
        /// Run on the users' platform with this settings file; all other settings are ignored then
        optional --settings path: PathBuf
        /// Name of this node in the platform's list of VMs
        optional --name name: String
        /// Availability zone of this VM
        optional --zone zone: String
        /// Address on which callers are served, IP:PORT
        optional --caller-address address: String
        /// Address on which administrators are served, IP:PORT
        optional --admin-address address: String
        /// Token for administrators, at least 16 characters; preferably set by the variable
        optional --admin-token token: String
        /// Address on which links from other nodes are accepted, IP:PORT; must be the one in the platform's list
        optional --link-address address: String
        /// Key that all nodes of the fleet share, 64 hexadecimal digits; preferably set by the variable
        optional --fleet-key key: String
        /// Longest time that a freshly started node waits for nodes that it can't reach, in milliseconds (default 3000)
        optional --join-wait-ms ms: String
        /// Address of the platform, IP:PORT
        optional --platform address: String
        /// Public key of the first owner, 64 hexadecimal digits
        optional --first-owner key: String
        /// Public key of the second owner, 64 hexadecimal digits
        optional --second-owner key: String
        /// Lowest bundle version that is accepted (default 0)
        optional --min-version version: String
        /// Milliseconds from failing the readiness check until connections are no longer accepted (default 2000)
        optional --balancer-lag-ms ms: String
        /// Number of threads that serve sockets (default 2)
        optional --workers count: String
        /// Policy: adaptive, or baseline for comparisons (default adaptive)
        optional --policy policy: String
        /// Least severe level to log: error, warning, info or debug (default info)
        optional --log-level level: String
    }
}
