//! Faults of a bundle, each with its place and a remedy.

use crate::prelude::*;
use std::fmt::{self, Display, Formatter};

/// One fault of a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// Kind of fault.
    pub code: ValidationCode,
    /// Where it is, such as `service slot-search, layout 41, shard 7`.
    pub place: String,
    /// What was found.
    pub detail: String,
}

vocabulary! {
    /// Kinds of fault, by their code.
    pub enum ValidationCode {
        /// The text format has another version.
        Format = "format",
        /// A version of zero.
        VersionZero = "version-zero",
        /// A name that is empty, too long or has other characters.
        Name = "name",
        /// A list with more entries than allowed, or without any.
        ListLength = "list-length",
        /// A number out of its bounds.
        NumberRange = "number-range",
        /// The same name, address or token twice.
        Duplicate = "duplicate",
        /// No zone of this name.
        UnknownZone = "unknown-zone",
        /// No class of this name.
        UnknownClass = "unknown-class",
        /// No upstream of this name.
        UnknownUpstream = "unknown-upstream",
        /// A consent that names no dangerous change.
        UnknownConsent = "unknown-consent",
        /// A shard without replicas.
        EmptyReplicaSet = "empty-replica-set",
        /// Fewer connections than one a node.
        ConnectionsBelowNodes = "connections-below-nodes",
        /// Index versions that do not rise.
        LayoutOrder = "layout-order",
        /// Layouts of a booking service, or upstreams of a search service.
        WrongKind = "wrong-kind",
        /// A booking service without upstreams.
        NoUpstreams = "no-upstreams",
        /// The hash of the empty token, which a caller without a token would match.
        EmptyToken = "empty-token",
        /// Every zone is out.
        AllZonesOut = "all-zones-out",
        /// Too few slots are in zones that are in.
        CapacityBelowFloor = "capacity-below-floor",
        /// Every upstream of a shard is out or leaving.
        ShardOut = "shard-out",
        /// Every upstream of a booking service is out or leaving.
        BookingOut = "booking-out",
        /// The version is not above the previous one.
        VersionNotHigher = "version-not-higher",
        /// The newest index version of a service was removed.
        NewestIndexRemoved = "newest-index-removed",
        /// The bundle is of another deployment than the previous one.
        DeploymentChanged = "deployment-changed",
    }
}

impl ValidationCode {
    /// Whether the fault is a dangerous change, which a bundle may mean: its `consents` then name this code.
    pub fn allows_consent(self) -> bool {
        matches!(
            self,
            Self::AllZonesOut
                | Self::CapacityBelowFloor
                | Self::ShardOut
                | Self::BookingOut
                | Self::VersionNotHigher
                | Self::NewestIndexRemoved
                | Self::DeploymentChanged
        )
    }

    /// What to change.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Format => "set format = 1",
            Self::VersionZero => "set a version of at least 1",
            Self::Name => "use 1 to 64 letters, digits, dots, dashes and underscores",
            Self::ListLength => "keep the list within its bounds",
            Self::NumberRange => "set a number within the bounds",
            Self::Duplicate => "keep one of them",
            Self::UnknownZone => "add the zone or name an existing one",
            Self::UnknownClass => "add the class or name an existing one",
            Self::UnknownUpstream => "add the upstream or name an existing one",
            Self::UnknownConsent => "remove it, or name the code of a dangerous change",
            Self::EmptyReplicaSet => "name at least one upstream for the shard",
            Self::ConnectionsBelowNodes => "allow at least one connection for each node",
            Self::LayoutOrder => "list layouts by rising index version, each once",
            Self::WrongKind => {
                "give layouts to search services only and upstreams to booking services only"
            }
            Self::NoUpstreams => "name at least one upstream of the booking service",
            Self::EmptyToken => "use a hash that `medlarctl keys tenant` printed",
            Self::AllZonesOut => "keep a zone in, or add \"all-zones-out\" to consents",
            Self::CapacityBelowFloor => {
                "keep more zones in, lower limits.capacity_floor, or add \"capacity-below-floor\" to consents"
            }
            Self::ShardOut => "keep a replica in, or add \"shard-out\" to consents",
            Self::BookingOut => "keep an upstream in, or add \"booking-out\" to consents",
            Self::VersionNotHigher => {
                "raise version; nodes never go back, so \"version-not-higher\" in consents suits only a new fleet"
            }
            Self::NewestIndexRemoved => {
                "keep the layout until a newer one is in force, or add \"newest-index-removed\" to consents"
            }
            Self::DeploymentChanged => {
                "check that this is the right bundle, or add \"deployment-changed\" to consents"
            }
        }
    }
}

impl ValidationError {
    /// A fault.
    pub(crate) fn new(
        code: ValidationCode,
        place: impl Into<String>,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            code,
            place: place.into(),
            detail: detail.into(),
        }
    }
}

impl Display for ValidationError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            code,
            place,
            detail,
        } = self;
        write!(f, "[{}] {place}: {detail}; {}", code.name(), code.remedy())
    }
}
