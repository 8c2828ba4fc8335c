//! The upstreams of a soak test: starts, ends, replacements, and their entries in the store.

use crate::{
    loopback_proxy::LoopbackProxy,
    soak_fleet::SoakFleet,
    soak_history::InstanceRecord,
    soak_observation::{SoakTime, monotonic_micros},
    soak_process::SoakProcess,
};
use medlarpost_stand_in::{EntryState, StoreCommand, UpstreamEntry, upstream_entry, upstream_key};
use std::{io, net::SocketAddr, time::Duration};

/// First port of the upstreams and of the proxies to them.
const FIRST_UPSTREAM_PORT: u16 = 20_000;

/// Requests that an upstream runs at the same time.
const UPSTREAM_SLOTS: u32 = 3;

/// Time for which an upstream is cold after its start.
const COLD_TIME: Duration = Duration::from_secs(3);

/// An upstream: its process, unless it is down, and the proxy between the nodes and it.
pub(crate) struct FleetUpstream {
    pub(crate) process: Option<SoakProcess>,
    pub(crate) link: LoopbackProxy,
    service: String,
    zone: &'static str,
    /// Address of the proxy, which is registered in the store.
    proxy_address: SocketAddr,
    /// Address of the process.
    process_address: SocketAddr,
    pub(crate) instance: String,
}

impl SoakFleet {
    /// Starts an upstream of this service at a new address.
    pub(crate) async fn start_upstream(
        &mut self,
        service: &str,
        zone: &'static str,
        cold_for: Duration,
    ) -> io::Result<FleetUpstream> {
        let port = FIRST_UPSTREAM_PORT + self.instances_started as u16;
        let proxy_address = SocketAddr::from((self.addresses.upstream_proxies(), port));
        let process_address = SocketAddr::from((self.addresses.upstreams(), port));
        let mut upstream = FleetUpstream {
            process: None,
            link: LoopbackProxy::start(proxy_address, process_address).await?,
            service: service.to_owned(),
            zone,
            proxy_address,
            process_address,
            instance: String::new(),
        };
        self.start_instance(&mut upstream, cold_for).await?;
        Ok(upstream)
    }

    /// Starts a new instance of an upstream that is down, and registers it in the store.
    async fn start_instance(
        &mut self,
        upstream: &mut FleetUpstream,
        cold_for: Duration,
    ) -> io::Result<()> {
        self.instances_started += 1;
        upstream.instance = format!("i-{}", self.instances_started);
        let (address, slots) = (
            upstream.process_address.to_string(),
            UPSTREAM_SLOTS.to_string(),
        );
        let arguments = [
            "stand-in-upstream",
            "--address",
            &address,
            "--instance",
            &upstream.instance,
            "--slots",
            &slots,
        ];
        let arguments = arguments.map(str::to_owned);
        let program = &self.options.stand_in_program;
        let process = SoakProcess::spawn_with_commands(program, &arguments, self.reports.clone())?;
        upstream.process = Some(process);
        let record = InstanceRecord {
            service: upstream.service.clone(),
            zone: upstream.zone.to_owned(),
            cold_until: monotonic_micros() + cold_for.as_micros() as SoakTime,
            leaving: None,
        };
        let instance = upstream.instance.clone();
        self.history.instances.insert(instance, record);
        self.put_entry(upstream, EntryState::Ready, cold_for).await;
        Ok(())
    }

    async fn put_entry(&mut self, upstream: &FleetUpstream, state: EntryState, cold_for: Duration) {
        self.entries_written += 1;
        let value = upstream_entry(&UpstreamEntry {
            service: &upstream.service,
            address: upstream.proxy_address,
            zone: upstream.zone,
            slots: UPSTREAM_SLOTS,
            state,
            cold_for,
            sequence: self.entries_written,
        });
        let key = upstream_key(&upstream.instance);
        let command = StoreCommand::Put(key, value.to_string().into_bytes());
        self.send_store_command(&command).await;
    }

    /// Kills an upstream and removes its entry from the store.
    pub(crate) async fn kill_upstream(&mut self, position: usize) {
        let upstream = &mut self.upstreams[position];
        upstream.process = None;
        let key = upstream_key(&upstream.instance);
        self.send_store_command(&StoreCommand::Remove(key)).await;
    }

    /// Starts another instance of a killed upstream at the same address. Does nothing if the upstream runs.
    pub(crate) async fn restart_upstream(&mut self, position: usize) -> io::Result<()> {
        if self.upstreams[position].process.is_some() {
            return Ok(());
        }
        let mut upstream = self.upstreams.swap_remove(position);
        let result = self.start_instance(&mut upstream, COLD_TIME).await;
        self.put_back_upstream(position, upstream);
        result
    }

    /// Puts an upstream that `swap_remove` took from this position back in its place.
    fn put_back_upstream(&mut self, position: usize, upstream: FleetUpstream) {
        self.upstreams.push(upstream);
        let last = self.upstreams.len() - 1;
        self.upstreams.swap(position, last);
    }

    /// Starts another instance at another address. The entry of the present one is marked as leaving, or removed if it is
    /// not announced. Returns the name of the leaving instance.
    pub(crate) async fn replace_upstream(
        &mut self,
        position: usize,
        is_announced: bool,
    ) -> io::Result<Option<String>> {
        let present = &self.upstreams[position];
        if present.process.is_none() {
            return Ok(None);
        }
        let (service, zone) = (present.service.clone(), present.zone);
        let replacement = self.start_upstream(&service, zone, COLD_TIME).await?;
        let leaving = std::mem::replace(&mut self.upstreams[position], replacement);
        let instance = leaving.instance.clone();
        if is_announced {
            self.put_entry(&leaving, EntryState::Draining, Duration::ZERO)
                .await;
        } else {
            let command = StoreCommand::Remove(upstream_key(&instance));
            self.send_store_command(&command).await;
        }
        if let Some(record) = self.history.instances.get_mut(&instance) {
            record.leaving = Some(monotonic_micros());
        }
        self.leaving.push(leaving);
        Ok(Some(instance))
    }

    /// Kills a leaving instance and removes its entry from the store.
    pub(crate) async fn end_leaving(&mut self, instance: &str) {
        self.leaving
            .retain(|upstream| upstream.instance != instance);
        let key = upstream_key(instance);
        self.send_store_command(&StoreCommand::Remove(key)).await;
    }

    /// Writes an incomplete entry of another service under the key of an upstream that runs.
    pub(crate) async fn put_odd_entry(&mut self, position: usize) {
        let upstream = &self.upstreams[position];
        let other = self.upstreams.iter().map(|upstream| &upstream.service);
        let other = other.into_iter().find(|name| **name != upstream.service);
        let (Some(service), Some(_)) = (other, &upstream.process) else {
            return;
        };
        let entry = serde_json::json!({
            "service": service,
            "address": upstream.proxy_address.to_string(),
            "zone": upstream.zone,
            "slots": UPSTREAM_SLOTS,
            "state": "ready",
            "warmupLeftMs": 0,
        });
        let key = upstream_key(&upstream.instance);
        let command = StoreCommand::Put(key, entry.to_string().into_bytes());
        self.send_store_command(&command).await;
    }

    /// Writes the entry of an upstream that runs again.
    pub(crate) async fn repeat_entry(&mut self, position: usize) {
        if self.upstreams[position].process.is_none() {
            return;
        }
        let upstream = self.upstreams.swap_remove(position);
        let cold_until = self.history.instances[&upstream.instance].cold_until;
        let cold_for = Duration::from_micros(cold_until.saturating_sub(monotonic_micros()));
        self.put_entry(&upstream, EntryState::Ready, cold_for).await;
        self.put_back_upstream(position, upstream);
    }
}
