//! A line over time as SVG.

/// Size of the drawing, in its own units.
const WIDTH: f64 = 420.0;
const HEIGHT: f64 = 130.0;
/// Room for numbers on the left, and for the time below.
const LEFT: f64 = 44.0;
const BELOW: f64 = 18.0;
/// Room above the highest point.
const ABOVE: f64 = 10.0;

/// One plot.
#[derive(Debug)]
pub struct Plot {
    /// What it shows, with its unit.
    pub title: &'static str,
    /// Oldest first; gaps where nothing was counted.
    pub points: Vec<Option<f64>>,
    /// The least height of the vertical axis.
    pub floor: f64,
    /// Where a limit lies.
    pub limit: Option<f64>,
}

impl Plot {
    /// The plot in a figure of its own.
    pub fn svg(&self) -> String {
        let top = self.top();
        let mut svg = format!(
            "<figure><figcaption>{}</figcaption>\n<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"{}\">\n",
            self.title, self.title
        );
        svg.push_str(&self.axes(top));
        if let Some(limit) = self.limit.filter(|limit| *limit <= top) {
            let y = y(limit, top);
            svg.push_str(&format!(
                "<line class=\"limit\" x1=\"{LEFT}\" y1=\"{y:.1}\" x2=\"{WIDTH}\" y2=\"{y:.1}\"/>\n"
            ));
        }
        for run in self.runs() {
            svg.push_str(&self.line(&run, top));
        }
        svg.push_str("</svg></figure>\n");
        svg
    }

    /// The highest finite point, or the floor.
    fn top(&self) -> f64 {
        let finite = self
            .points
            .iter()
            .flatten()
            .filter(|value| value.is_finite());
        finite.fold(self.floor, |top, value| top.max(*value))
    }

    fn axes(&self, top: f64) -> String {
        let base = HEIGHT - BELOW;
        let mut axes = String::new();
        for value in [0.0, top / 2.0, top] {
            let y = y(value, top);
            axes.push_str(&format!(
                "<line class=\"axis\" x1=\"{LEFT}\" y1=\"{y:.1}\" x2=\"{WIDTH}\" y2=\"{y:.1}\"/>\
                 <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\n",
                LEFT - 4.0,
                y + 3.5,
                number(value),
            ));
        }
        let text = base + 13.0;
        axes.push_str(&format!(
            "<text x=\"{LEFT}\" y=\"{text}\">6 h ago</text>\
             <text x=\"{WIDTH}\" y=\"{text}\" text-anchor=\"end\">now</text>\n"
        ));
        axes
    }

    /// Neighbouring points that were counted.
    fn runs(&self) -> Vec<Vec<(usize, f64)>> {
        let mut runs = Vec::new();
        let mut run = Vec::new();
        for (place, point) in self.points.iter().enumerate() {
            match point {
                Some(value) => run.push((place, *value)),
                None if run.is_empty() => {}
                None => runs.push(std::mem::take(&mut run)),
            }
        }
        if !run.is_empty() {
            runs.push(run);
        }
        runs
    }

    fn line(&self, run: &[(usize, f64)], top: f64) -> String {
        let last = self.points.len().saturating_sub(1).max(1) as f64;
        let x = |place: usize| LEFT + (WIDTH - LEFT) * place as f64 / last;
        if let [(place, value)] = run {
            let (x, y) = (x(*place), y(value.min(top), top));
            return format!("<circle class=\"dot\" cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"1.5\"/>\n");
        }
        let corners = run
            .iter()
            .map(|(place, value)| format!("{:.1},{:.1}", x(*place), y(value.min(top), top)));
        let corners = corners.collect::<Vec<_>>().join(" ");
        format!("<polyline class=\"line\" points=\"{corners}\"/>\n")
    }
}

fn y(value: f64, top: f64) -> f64 {
    let room = HEIGHT - BELOW - ABOVE;
    ABOVE + room * (1.0 - value / top)
}

fn number(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.2}"),
    }
}
