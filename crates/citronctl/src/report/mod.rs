//! The report on service-level burn: text, JSON, or one page with plots.

mod figures;
mod html;
mod json;
mod plot;
mod text;

pub use {figures::Figures, html::html, json::json, text::text};
