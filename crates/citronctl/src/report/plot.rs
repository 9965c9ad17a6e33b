//! SVG plots of values over time.

/// Size of the drawing in SVG user units, as all lengths here.
const WIDTH: f64 = 420.0;
const HEIGHT: f64 = 130.0;
/// Margins for the numbers on the left and the times at the bottom.
const LEFT_MARGIN: f64 = 44.0;
const BOTTOM_MARGIN: f64 = 18.0;
/// Margin above the highest point.
const TOP_MARGIN: f64 = 10.0;

/// Plot of one figure over six hours.
#[derive(Debug)]
pub struct Plot {
    /// Caption with the unit.
    pub title: &'static str,
    /// Values, oldest first; `None` leaves a gap in the line.
    pub points: Vec<Option<f64>>,
    /// Smallest value at the top of the vertical axis.
    pub min_height: f64,
    /// Value of a dashed limit line.
    pub limit: Option<f64>,
}

impl Plot {
    /// Renders the plot as an HTML `figure` element.
    pub fn svg(&self) -> String {
        let max = self.axis_max();
        let mut svg = format!(
            "<figure><figcaption>{}</figcaption>\n<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" aria-label=\"{}\">\n",
            self.title, self.title
        );
        svg.push_str(&self.axes(max));
        if let Some(limit) = self.limit.filter(|limit| *limit <= max) {
            let y = y(limit, max);
            svg.push_str(&format!(
                "<line class=\"limit\" x1=\"{LEFT_MARGIN}\" y1=\"{y:.1}\" x2=\"{WIDTH}\" y2=\"{y:.1}\"/>\n"
            ));
        }
        for segment in self.segments() {
            svg.push_str(&self.line(&segment, max));
        }
        svg.push_str("</svg></figure>\n");
        svg
    }

    /// Returns the value at the top of the vertical axis: the highest finite point, but at
    /// least [`Self::min_height`].
    fn axis_max(&self) -> f64 {
        let finite = self
            .points
            .iter()
            .flatten()
            .filter(|value| value.is_finite());
        finite.fold(self.min_height, |max, value| max.max(*value))
    }

    fn axes(&self, max: f64) -> String {
        let baseline = HEIGHT - BOTTOM_MARGIN;
        let mut axes = String::new();
        for value in [0.0, max / 2.0, max] {
            let y = y(value, max);
            axes.push_str(&format!(
                "<line class=\"axis\" x1=\"{LEFT_MARGIN}\" y1=\"{y:.1}\" x2=\"{WIDTH}\" y2=\"{y:.1}\"/>\
                 <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\n",
                LEFT_MARGIN - 4.0,
                y + 3.5,
                format_number(value),
            ));
        }
        let text = baseline + 13.0;
        axes.push_str(&format!(
            "<text x=\"{LEFT_MARGIN}\" y=\"{text}\">6 h ago</text>\
             <text x=\"{WIDTH}\" y=\"{text}\" text-anchor=\"end\">now</text>\n"
        ));
        axes
    }

    /// Splits the points at gaps into connected segments of index and value.
    fn segments(&self) -> Vec<Vec<(usize, f64)>> {
        let mut segments = Vec::new();
        let mut segment = Vec::new();
        for (index, point) in self.points.iter().enumerate() {
            match point {
                Some(value) => segment.push((index, *value)),
                None if segment.is_empty() => {}
                None => segments.push(std::mem::take(&mut segment)),
            }
        }
        if !segment.is_empty() {
            segments.push(segment);
        }
        segments
    }

    fn line(&self, segment: &[(usize, f64)], max: f64) -> String {
        let last = self.points.len().saturating_sub(1).max(1) as f64;
        let x = |index: usize| LEFT_MARGIN + (WIDTH - LEFT_MARGIN) * index as f64 / last;
        if let [(index, value)] = segment {
            let (x, y) = (x(*index), y(value.min(max), max));
            return format!("<circle class=\"dot\" cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"1.5\"/>\n");
        }
        let vertices = segment
            .iter()
            .map(|(index, value)| format!("{:.1},{:.1}", x(*index), y(value.min(max), max)));
        let vertices = vertices.collect::<Vec<_>>().join(" ");
        format!("<polyline class=\"line\" points=\"{vertices}\"/>\n")
    }
}

fn y(value: f64, max: f64) -> f64 {
    let height = HEIGHT - BOTTOM_MARGIN - TOP_MARGIN;
    TOP_MARGIN + height * (1.0 - value / max)
}

fn format_number(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.2}"),
    }
}
