//! Command line of the node.

use std::path::PathBuf;

xflags::xflags! {
    /// A node of the medlarpost query tier. Each flag can also be set by an environment variable: MEDLARPOST_ and the
    /// name in capitals with underscores. A flag goes before its variable.
    ///
    /// Example:
    ///   MEDLARPOST_ADMIN_TOKEN=... MEDLARPOST_FLEET_KEY=... medlarpost --name node-1 --zone pl-a --caller-address 127.0.0.1:8080
    ///     --admin-address 127.0.0.1:8081 --link-address 127.0.0.1:8082 --platform 127.0.0.1:8090 --first-owner KEY --second-owner KEY
    ///
    /// TLS is set by variables alone, which hold PEM text: MEDLARPOST_TLS_CERTIFICATE and MEDLARPOST_TLS_KEY for both
    /// listeners (both or neither), MEDLARPOST_UPSTREAM_ROOTS for upstreams with tls = true.
    ///
    /// Exit codes: 0 after a graceful stop (SIGTERM or SIGINT), 1 if the node can't run, 2 for settings that can't be
    /// used; then every fault is printed.
    cmd medlarpost {
        /// Run on the users' platform, whose settings file this is; no other setting is used then
        optional --settings path: PathBuf
        /// Name of this node on the platform's list of VMs
        optional --name name: String
        /// Availability zone of this VM
        optional --zone zone: String
        /// Address for callers, IP:PORT
        optional --caller-address address: String
        /// Address for administrators, IP:PORT
        optional --admin-address address: String
        /// Token for administrators, at least 16 characters; better set by the variable
        optional --admin-token token: String
        /// Address for links from other nodes, IP:PORT; the one on the platform's list
        optional --link-address address: String
        /// Key that all nodes of the fleet share, 64 hexadecimal digits; better set by the variable
        optional --fleet-key key: String
        /// Longest wait of a fresh start for nodes that it can't reach, in milliseconds (default 3000)
        optional --join-wait-ms ms: String
        /// Address of the platform, IP:PORT
        optional --platform address: String
        /// Public key of the first owner, 64 hexadecimal digits
        optional --first-owner key: String
        /// Public key of the second owner, 64 hexadecimal digits
        optional --second-owner key: String
        /// Version below which no bundle is accepted (default 0)
        optional --min-version version: String
        /// Milliseconds between the failing readiness check and the end of accepting (default 2000)
        optional --balancer-lag-ms ms: String
        /// Threads for sockets (default 2)
        optional --workers count: String
        /// adaptive, or baseline for comparisons (default adaptive)
        optional --policy policy: String
        /// Least severe level that is logged: error, warning, info or debug (default info)
        optional --log-level level: String
    }
}
