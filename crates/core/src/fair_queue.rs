//! Fair queue of the queries that wait for admission.

use crate::prelude::*;
use std::collections::{HashSet, VecDeque};

/// Queue with weighted round robin over classes, and plain round robin over the workspaces of a class.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: VecDeque<ClassQueue>,
    members: HashSet<QueryKey>,
}

#[derive(Debug)]
struct ClassQueue {
    name: Arc<str>,
    weight: u32,
    /// Queries that the class may still start in this round.
    credit: u32,
    workspaces: VecDeque<WorkspaceQueue>,
}

#[derive(Debug)]
struct WorkspaceQueue {
    name: Arc<str>,
    queries: VecDeque<QueryKey>,
}

impl FairQueue {
    /// Number of queued queries.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no query is queued.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Appends a query to its workspace's queue. The given weight replaces the earlier weight of the class; 0 counts as 1.
    pub fn push(&mut self, (class, weight): (&str, u32), workspace: &Arc<str>, query: QueryKey) {
        self.members.insert(query);
        let known = self.classes.iter().position(|c| &*c.name == class);
        let position = known.unwrap_or_else(|| {
            self.classes.push_back(ClassQueue {
                name: Arc::from(class),
                weight: 0,
                credit: weight.max(1),
                workspaces: VecDeque::new(),
            });
            self.classes.len() - 1
        });
        let class = &mut self.classes[position];
        class.weight = weight.max(1);
        match class.workspaces.iter_mut().find(|t| t.name == *workspace) {
            Some(workspace) => workspace.queries.push_back(query),
            None => class.workspaces.push_back(WorkspaceQueue {
                name: Arc::clone(workspace),
                queries: VecDeque::from([query]),
            }),
        }
    }

    /// Removes a query; does nothing if it is not queued.
    pub fn remove(&mut self, query: QueryKey) {
        if !self.members.remove(&query) {
            return;
        }
        for workspace in self.classes.iter_mut().flat_map(|c| &mut c.workspaces) {
            if let Some(position) = workspace.queries.iter().position(|q| *q == query) {
                workspace.queries.remove(position);
                break;
            }
        }
        self.drop_empty_queues();
    }

    /// Removes the next query in fair order.
    pub fn pop(&mut self) -> Option<QueryKey> {
        let class = self.classes.front_mut()?;
        let mut workspace = class.workspaces.pop_front()?;
        let query = workspace.queries.pop_front()?;
        class.workspaces.push_back(workspace);
        class.credit = class.credit.saturating_sub(1);
        if class.credit == 0 {
            class.credit = class.weight;
            self.classes.rotate_left(1);
        }
        self.members.remove(&query);
        self.drop_empty_queues();
        Some(query)
    }

    /// Removes the newest query of the workspace with the longest queue, if that queue is longer than the queue of
    /// `workspace` would be with one more query.
    pub fn displace_for(&mut self, workspace: &str) -> Option<QueryKey> {
        let lengths = |name: &str| {
            let queues = self.classes.iter().flat_map(|c| &c.workspaces);
            queues
                .filter(|t| &*t.name == name)
                .map(|t| t.queries.len())
                .sum::<usize>()
        };
        let own = lengths(workspace);
        let longest = self
            .classes
            .iter_mut()
            .flat_map(|c| &mut c.workspaces)
            .max_by_key(|t| t.queries.len())?;
        if longest.queries.len() <= own + 1 {
            return None;
        }
        let query = longest.queries.pop_back()?;
        self.members.remove(&query);
        Some(query)
    }

    /// Number of queries that would start up to and including the next query of `workspace` if all workspaces had equal
    /// shares.
    pub fn position_of_next(&self, workspace: &str) -> usize {
        let queues = || self.classes.iter().flat_map(|c| &c.workspaces);
        let own = queues().find(|t| &*t.name == workspace);
        let others = queues().filter(|t| &*t.name != workspace);
        let own_length = own.map_or(0, |t| t.queries.len()) + 1;
        own_length
            + others
                .map(|t| t.queries.len().min(own_length))
                .sum::<usize>()
    }

    fn drop_empty_queues(&mut self) {
        for class in &mut self.classes {
            class
                .workspaces
                .retain(|workspace| !workspace.queries.is_empty());
        }
        self.classes.retain(|class| !class.workspaces.is_empty());
    }
}
