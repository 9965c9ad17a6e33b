//! Report on the burn rates of service-level objectives, as text, JSON or an HTML page with
//! plots.

mod figures;
mod html;
mod json;
mod plot;
mod text;

pub use {figures::Figures, html::html, json::json, text::text};
