//! Orders to load models, versions and adapters and to change the role.

use {
    super::{ROLES, batch::Instance, handler::Engine},
    crate::{
        body::{self, Body},
        load::Load,
    },
    hyper::{Response, StatusCode},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Body of `POST /orders`: the wanted state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Order {
    pub(crate) fencing: u64,
    /// All models and adapters that shall be loaded.
    pub(crate) models: Vec<String>,
    /// Versions of models; a model without one stays in the version that it has.
    #[serde(default)]
    pub(crate) versions: BTreeMap<String, String>,
    /// The base of each adapter among the models.
    #[serde(default)]
    pub(crate) adapters: BTreeMap<String, String>,
    /// The role; stays as it is if absent.
    #[serde(default)]
    pub(crate) role: Option<String>,
}

impl Order {
    /// Why the order cannot be carried out.
    fn fault(&self) -> Option<String> {
        let role = self.role.as_deref().filter(|role| !ROLES.contains(role));
        if let Some(role) = role {
            return Some(format!("there is no role '{role}'; use one of {}", ROLES.join(", ")));
        }
        let lacks_base = |(adapter, base): &(&String, &String)| {
            self.models.contains(adapter) && !self.models.contains(base)
        };
        let (adapter, base) = self.adapters.iter().find(lacks_base)?;
        Some(format!("adapter '{adapter}' needs its base '{base}' among the models"))
    }

    /// Whether a loaded model stays as it is. One that has not told its version is in none that an order names.
    fn keeps(&self, load: &Load, model: &String) -> bool {
        let wanted = self.versions.get(model);
        let same = wanted.is_none_or(|wanted| load.versions.get(model) == Some(wanted));
        self.models.contains(model) && same
    }
}

/// Accepts or rejects an order and begins to carry it out. Requests for what it unloads are cut off, and a change of
/// the role cuts off all.
pub(crate) fn order(engine: &Arc<Engine>, bytes: &[u8]) -> Response<Body> {
    let order: Order = match serde_json::from_slice(bytes) {
        Ok(order) => order,
        Err(error) => return body::error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if let Some(fault) = order.fault() {
        return body::error(StatusCode::BAD_REQUEST, &fault);
    }
    let instance = engine.endpoint.instance();
    let mut rejected = None;
    let mut unloaded = Vec::new();
    let mut role_changed = false;
    instance.life.load.change(|load| {
        if engine.options().check_fencing && order.fencing < load.fencing {
            rejected = Some(load.fencing);
            return;
        }
        if load.serves_any() {
            load.models.clone_from(&order.models);
        }
        load.fencing = load.fencing.max(order.fencing);
        if let Some(role) = order.role.as_ref().filter(|role| **role != load.role) {
            role_changed = true;
            load.role.clone_from(role);
        }
        let before = load.clone();
        let kept = |model: &String| order.keeps(&before, model);
        let based = |model: &String| order.adapters.get(model).is_none_or(kept);
        (load.models, unloaded) =
            before.models.iter().cloned().partition(|model| kept(model) && based(model));
        let missing = order.models.iter().filter(|model| !load.models.contains(model));
        load.loading = missing.cloned().collect();
        load.versions.retain(|model, _| load.models.contains(model));
        for model in &load.loading {
            let version = order.versions.get(model).unwrap_or(&engine.options().version);
            if !version.is_empty() {
                load.versions.insert(model.clone(), version.clone());
            }
        }
    });
    if let Some(fencing) = rejected {
        return body::json(StatusCode::CONFLICT, &serde_json::json!({"fencing": fencing}));
    }
    instance.cut_off(|model| role_changed || unloaded.iter().any(|unloaded| unloaded == model));
    tokio::spawn(load(Arc::clone(engine), Arc::clone(&instance), order.models));
    body::json(StatusCode::OK, &instance.life.load.current())
}

/// Loads the missing models one after the other, unless a later order no longer wants them.
async fn load(engine: Arc<Engine>, instance: Arc<Instance>, models: Vec<String>) {
    for model in models {
        if !instance.life.load.current().loading.contains(&model) {
            continue;
        }
        tokio::time::sleep(engine.options().load_time).await;
        instance.life.load.change(|load| {
            let wanted = load.loading.iter().position(|loading| *loading == model);
            if let Some(position) = wanted {
                load.loading.remove(position);
                load.models.push(model);
            }
        });
    }
}
