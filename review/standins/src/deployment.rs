//! Instances with the settings of the deploy file's template, as a small deployment fills it in.

use {
    crate::support::{CallerRequest, Instance, Store, is_ok, send_request, wait_until},
    http::Method,
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// Starts an instance; `grace_s` is the time that the platform gives it after SIGTERM.
pub fn start_instance(store: &Store, name: &str, grace_s: u32) -> Instance {
    start_instance_with(store.address, name, grace_s, |_| {})
}

/// As [`start_instance`], with the address of a link to the store and edited settings.
pub fn start_instance_with(
    store: SocketAddr,
    name: &str,
    grace_s: u32,
    edit: impl FnOnce(&mut Value),
) -> Instance {
    Instance::start_with(store, name, |settings| {
        settings["leave_s"] = grace_s.into();
        settings["slot_brokers"] = json!({"instances_per_slot": 8});
        // Fields of deployments whose servers may be cold or whose zones may be evacuated.
        for name in ["cold", "evacuate_s"] {
            settings.as_object_mut().unwrap().remove(name);
        }
        edit(settings);
    })
}

/// A config with one rule for each host, and its service.
pub fn config(hosts: &[SocketAddr], rule: &Value, service: &Value) -> Value {
    let listeners = hosts
        .iter()
        .map(|host| json!({"host": host.ip().to_string(), "ruleSet": [rule]}));
    json!({
        "version": "00000001",
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
            "headerTimeoutS": 3, "idleTimeoutS": 15,
        },
        "listeners": listeners.collect::<Vec<_>>(),
        "clusters": [service],
    })
}

/// Waits until an instance answers a request with success.
pub async fn wait_until_served(to: SocketAddr, method: Method, path: &str, key: Option<u16>) {
    wait_until("the instance serves", async || {
        let request = CallerRequest {
            method: method.clone(),
            path,
            id: "warm-up",
            key,
        };
        is_ok(&send_request(to, request).await)
    })
    .await;
}
