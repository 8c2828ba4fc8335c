//! Errors that the validation of a bundle finds, each with its location and a remedy.

use crate::prelude::*;
use std::fmt::{self, Display, Formatter};

/// One error of a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// Kind of error.
    pub code: ValidationCode,
    /// Entry of the bundle, such as `service slot-search, layout 41, shard 7`.
    pub location: String,
    /// What was found at the location.
    pub detail: String,
}

vocabulary! {
    /// Kinds of errors, with the code by which operators refer to them.
    pub enum ValidationCode {
        /// The version of the bundle format is not supported.
        Format = "format",
        /// The bundle version is zero, which stands for no bundle.
        VersionZero = "version-zero",
        /// A name is empty, too long or contains a character that is not allowed.
        Name = "name",
        /// A list has too few or too many entries.
        ListLength = "list-length",
        /// A number is outside its bounds.
        NumberRange = "number-range",
        /// A name, address or token occurs more than once.
        Duplicate = "duplicate",
        /// An upstream refers to a zone that is not defined.
        UnknownZone = "unknown-zone",
        /// A workspace refers to a class that is not defined.
        UnknownClass = "unknown-class",
        /// A service refers to an upstream that is not defined.
        UnknownUpstream = "unknown-upstream",
        /// A consent is not the code of a dangerous change.
        UnknownConsent = "unknown-consent",
        /// A shard has no replicas.
        EmptyReplicaSet = "empty-replica-set",
        /// An upstream accepts fewer connections than one per node.
        ConnectionsBelowNodes = "connections-below-nodes",
        /// The index versions of a service do not rise.
        LayoutOrder = "layout-order",
        /// A booking service has layouts, or a search service has upstreams.
        WrongKind = "wrong-kind",
        /// A booking service has no upstreams.
        NoUpstreams = "no-upstreams",
        /// A workspace has the hash of the empty token, which would match a caller without a token.
        EmptyToken = "empty-token",
        /// Every zone is out.
        AllZonesOut = "all-zones-out",
        /// Too small a share of the slots is in active upstreams of active zones.
        CapacityBelowFloor = "capacity-below-floor",
        /// No upstream of a shard is active and in an active zone.
        ShardOut = "shard-out",
        /// No upstream of a booking service is active and in an active zone.
        BookingOut = "booking-out",
        /// The version is not higher than the previous bundle's.
        VersionNotHigher = "version-not-higher",
        /// The newest index version of a service was removed.
        NewestIndexRemoved = "newest-index-removed",
        /// The bundle belongs to another deployment than the previous one.
        DeploymentChanged = "deployment-changed",
    }
}

impl ValidationCode {
    /// Whether this is a dangerous change, which is accepted if the bundle names the code in its `consents`.
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

    /// What the operator has to change.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::Format => "set format = 1",
            Self::VersionZero => "set a version of at least 1",
            Self::Name => "use 1 to 64 letters, digits, dots, dashes and underscores",
            Self::ListLength => "add or remove entries",
            Self::NumberRange => "use a number within the bounds",
            Self::Duplicate => "remove one of them",
            Self::UnknownZone => "add the zone or name an existing one",
            Self::UnknownClass => "add the class or name an existing one",
            Self::UnknownUpstream => "add the upstream or name an existing one",
            Self::UnknownConsent => "remove it, or use the code of a dangerous change",
            Self::EmptyReplicaSet => "name at least one upstream for the shard",
            Self::ConnectionsBelowNodes => "allow at least one connection for each node",
            Self::LayoutOrder => "list layouts by rising index version, each once",
            Self::WrongKind => {
                "give layouts to search services only and upstreams to booking services only"
            }
            Self::NoUpstreams => "name at least one upstream of the booking service",
            Self::EmptyToken => "use a hash that `medlarctl keys tenant` printed",
            Self::AllZonesOut => "bring at least one zone in, or add \"all-zones-out\" to consents",
            Self::CapacityBelowFloor => {
                "bring more zones in, lower limits.capacity_floor, or add \"capacity-below-floor\" to consents"
            }
            Self::ShardOut => {
                "keep a replica active in a zone that is in, or add \"shard-out\" to consents"
            }
            Self::BookingOut => {
                "keep an upstream active in a zone that is in, or add \"booking-out\" to consents"
            }
            Self::VersionNotHigher => {
                "raise version; nodes never revert, so \"version-not-higher\" in consents suits only a new fleet"
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
    pub(crate) fn new(
        code: ValidationCode,
        location: impl Into<String>,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            code,
            location: location.into(),
            detail: detail.into(),
        }
    }
}

impl Display for ValidationError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            code,
            location,
            detail,
        } = self;
        write!(
            f,
            "[{}] {location}: {detail}; {}",
            code.name(),
            code.remedy()
        )
    }
}
