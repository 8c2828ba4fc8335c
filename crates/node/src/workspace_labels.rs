//! Bounded values of the label `workspace` of metrics.

use crate::prelude::*;
use std::collections::BTreeSet;

/// Most workspaces that have a label value of their own.
pub const MAX_WORKSPACE_LABELS: usize = 64;

/// Label value of all other workspaces.
pub const OTHER_WORKSPACES: &str = "other";

/// Workspaces that have a label value of their own: the first ones that were counted.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceLabels {
    names: BTreeSet<Arc<str>>,
}

impl WorkspaceLabels {
    /// Label value of a workspace.
    pub fn label<'a>(&mut self, workspace: &'a Arc<str>) -> &'a str {
        if !self.names.contains(workspace) {
            if self.names.len() >= MAX_WORKSPACE_LABELS {
                return OTHER_WORKSPACES;
            }
            self.names.insert(Arc::clone(workspace));
        }
        workspace
    }
}
