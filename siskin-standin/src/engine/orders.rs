//! Orders to load models.

use {
    super::{batch::Instance, handler::Engine},
    crate::body::{self, Body},
    hyper::{Response, StatusCode},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Body of `POST /orders`: the wanted state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Order {
    pub(crate) fencing: u64,
    pub(crate) models: Vec<String>,
}

/// Accepts or rejects an order and begins to carry it out.
pub(crate) fn order(engine: &Arc<Engine>, bytes: &[u8]) -> Response<Body> {
    let order: Order = match serde_json::from_slice(bytes) {
        Ok(order) => order,
        Err(error) => return body::error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let instance = engine.endpoint.instance();
    let mut rejected = None;
    instance.life.load.change(|load| {
        if engine.options().check_fencing && order.fencing < load.fencing {
            rejected = Some(load.fencing);
            return;
        }
        load.fencing = load.fencing.max(order.fencing);
        load.models.retain(|model| order.models.contains(model));
        let missing = order.models.iter().filter(|model| !load.models.contains(model));
        load.loading = missing.cloned().collect();
    });
    if let Some(fencing) = rejected {
        return body::json(StatusCode::CONFLICT, &serde_json::json!({"fencing": fencing}));
    }
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
