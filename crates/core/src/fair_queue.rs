//! Fair queue of the queries that wait for admission.

use crate::prelude::*;
use std::collections::{HashSet, VecDeque};

/// Queue with weighted round robin over classes, and plain round robin over the tenants of a class.
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
    tenants: VecDeque<TenantQueue>,
}

#[derive(Debug)]
struct TenantQueue {
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

    /// Appends a query to its tenant's queue. The given weight replaces the earlier weight of the class; 0 counts as 1.
    pub fn push(&mut self, (class, weight): (&str, u32), tenant: &Arc<str>, query: QueryKey) {
        self.members.insert(query);
        let known = self.classes.iter().position(|c| &*c.name == class);
        let position = known.unwrap_or_else(|| {
            self.classes.push_back(ClassQueue {
                name: Arc::from(class),
                weight: 0,
                credit: weight.max(1),
                tenants: VecDeque::new(),
            });
            self.classes.len() - 1
        });
        let class = &mut self.classes[position];
        class.weight = weight.max(1);
        match class.tenants.iter_mut().find(|t| t.name == *tenant) {
            Some(tenant) => tenant.queries.push_back(query),
            None => class.tenants.push_back(TenantQueue {
                name: Arc::clone(tenant),
                queries: VecDeque::from([query]),
            }),
        }
    }

    /// Removes a query; does nothing if it is not queued.
    pub fn remove(&mut self, query: QueryKey) {
        if !self.members.remove(&query) {
            return;
        }
        for tenant in self.classes.iter_mut().flat_map(|c| &mut c.tenants) {
            if let Some(position) = tenant.queries.iter().position(|q| *q == query) {
                tenant.queries.remove(position);
                break;
            }
        }
        self.drop_empty_queues();
    }

    /// Removes the next query in fair order.
    pub fn pop(&mut self) -> Option<QueryKey> {
        let class = self.classes.front_mut()?;
        let mut tenant = class.tenants.pop_front()?;
        let query = tenant.queries.pop_front()?;
        class.tenants.push_back(tenant);
        class.credit = class.credit.saturating_sub(1);
        if class.credit == 0 {
            class.credit = class.weight;
            self.classes.rotate_left(1);
        }
        self.members.remove(&query);
        self.drop_empty_queues();
        Some(query)
    }

    /// Removes the newest query of the tenant with the longest queue, provided that queue would still be longer than
    /// the queue of `tenant` with one more query.
    pub fn displace_for(&mut self, tenant: &str) -> Option<QueryKey> {
        let lengths = |name: &str| {
            let queues = self.classes.iter().flat_map(|c| &c.tenants);
            queues
                .filter(|t| &*t.name == name)
                .map(|t| t.queries.len())
                .sum::<usize>()
        };
        let own = lengths(tenant);
        let longest = self
            .classes
            .iter_mut()
            .flat_map(|c| &mut c.tenants)
            .max_by_key(|t| t.queries.len())?;
        if longest.queries.len() <= own + 1 {
            return None;
        }
        let query = longest.queries.pop_back()?;
        self.members.remove(&query);
        Some(query)
    }

    /// Number of queries that would start up to and including the next query of `tenant` if all tenants had equal
    /// shares.
    pub fn position_of_next(&self, tenant: &str) -> usize {
        let queues = || self.classes.iter().flat_map(|c| &c.tenants);
        let own = queues().find(|t| &*t.name == tenant);
        let others = queues().filter(|t| &*t.name != tenant);
        let own_length = own.map_or(0, |t| t.queries.len()) + 1;
        own_length
            + others
                .map(|t| t.queries.len().min(own_length))
                .sum::<usize>()
    }

    fn drop_empty_queues(&mut self) {
        for class in &mut self.classes {
            class.tenants.retain(|tenant| !tenant.queries.is_empty());
        }
        self.classes.retain(|class| !class.tenants.is_empty());
    }
}
