//! Guards against metrics whose number grows with the workspaces of a configuration.

use medlarpost_node::workspace_labels::{MAX_WORKSPACE_LABELS, OTHER_WORKSPACES, WorkspaceLabels};
use std::sync::Arc;

#[test]
fn workspaces_beyond_the_maximum_share_one_label() {
    let mut labels = WorkspaceLabels::default();
    let names: Vec<Arc<str>> = (0..MAX_WORKSPACE_LABELS + 2)
        .map(|n| format!("w-{n}").into())
        .collect();

    let first: Vec<&str> = names.iter().map(|name| labels.label(name)).collect();
    let again = labels.label(&names[0]);

    assert_eq!(
        first[MAX_WORKSPACE_LABELS - 1],
        &*names[MAX_WORKSPACE_LABELS - 1]
    );
    assert_eq!(first[MAX_WORKSPACE_LABELS..], [OTHER_WORKSPACES; 2]);
    assert_eq!(again, "w-0");
}
