//! Interfaces to external services and their clients: the platform's table, object store
//! and machine list, the store of the row tables, and the grant and health endpoints of
//! backend servers.

mod adapter;
mod error;
mod fetch_table;
mod grants;
mod http;
mod http_client;
mod idempotent;
mod machines;
mod memory;
mod metered_stream;
mod objects;
mod process_life;
mod read_budget;
mod reply;
mod rows;
mod servers;
mod status;
mod table_service;
mod table_store;

pub use {
    adapter::{Adapter, DecodeError, HeaderNames},
    error::PlatformError,
    fetch_table::{TableResponse, fetch_table},
    grants::GrantClient,
    http::HttpPlatform,
    http_client::{CallError, HttpClient, IdleTimeout, ReadTimeout},
    idempotent::IdempotentStore,
    machines::{Machine, MachineList, MachineState},
    memory::MemoryPlatform,
    objects::ObjectStore,
    process_life::ProcessLife,
    read_budget::ReadBudget,
    reply::{Origin, Reply},
    rows::{Row, RowCommit, RowSet, RowStore, RowTable, StoreError},
    servers::{ProbeResult, Prober, ServerClient},
    status::is_final_status,
    table_service::TableService,
    table_store::{HistoryEntry, HistoryRead, TableRead, TableStore},
};
