//! A relay in front of an engine that notes orders and can hold one back, as a slow network does.

use {
    serde_json::Value,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// An order that has reached the engine, in the order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) fencing: u64,
    pub(crate) status: u16,
}

#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    engine: SocketAddr,
    orders: Mutex<Vec<Order>>,
    /// Orders that name this model are held back while it is set.
    hold: watch::Sender<Option<&'static str>>,
    /// Fencing number of the order that is held back.
    held: watch::Sender<Option<u64>>,
}

impl Relay {
    pub(crate) async fn start(engine: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            engine,
            orders: Mutex::default(),
            hold: watch::Sender::new(None),
            held: watch::Sender::new(None),
        });
        let accepting = Arc::clone(&shared);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&accepting).connection(stream));
            }
        });
        Self { address, shared }
    }

    /// Holds back orders that name a model, or lets all pass.
    pub(crate) fn hold(&self, model: Option<&'static str>) {
        self.shared.hold.send_replace(model);
    }

    /// Fencing number of the order that is held back.
    pub(crate) fn held(&self) -> Option<u64> {
        *self.shared.held.borrow()
    }

    pub(crate) fn orders(&self) -> Vec<Order> {
        self.shared.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Shared {
    async fn connection(self: Arc<Self>, mut stream: TcpStream) -> io::Result<()> {
        let mut request = Vec::new();
        let body = loop {
            if stream.read_buf(&mut request).await? == 0 {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&request);
            let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
            if !head.starts_with("POST /orders") {
                break None;
            }
            if let Ok(body) = serde_json::from_str::<Value>(body) {
                break Some(body);
            }
        };
        if let Some(body) = &body {
            self.pass(body).await;
        }
        let mut engine = TcpStream::connect(self.engine).await?;
        engine.write_all(&request).await?;
        if let Some(body) = body {
            let mut answer = Vec::new();
            while answer.len() < STATUS_END {
                if engine.read_buf(&mut answer).await? == 0 {
                    return Ok(());
                }
            }
            let status = String::from_utf8_lossy(&answer[STATUS_START..STATUS_END]).parse();
            let order = Order {
                fencing: body["fencing"].as_u64().unwrap_or_default(),
                status: status.unwrap_or_default(),
            };
            self.orders.lock().unwrap_or_else(PoisonError::into_inner).push(order);
            stream.write_all(&answer).await?;
        }
        copy_bidirectional(&mut stream, &mut engine).await.map(|_| ())
    }

    /// Waits while an order is to be held back.
    async fn pass(&self, order: &Value) {
        let names = |model: &str| {
            order["models"].as_array().is_some_and(|models| models.iter().any(|it| it == model))
        };
        let kept_back = |model: Option<&'static str>| model.is_some_and(names);
        let mut hold = self.hold.subscribe();
        if !kept_back(*hold.borrow()) {
            return;
        }
        self.held.send_replace(order["fencing"].as_u64());
        // A closed channel means that the test has ended.
        let _ = hold.wait_for(|model| !kept_back(*model)).await;
        self.held.send_replace(None);
    }
}

/// Where the status code stands in an answer: after `HTTP/1.1 `.
const STATUS_START: usize = 9;
const STATUS_END: usize = 12;
