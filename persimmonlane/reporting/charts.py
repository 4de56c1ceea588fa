"""Line charts.

Draws line charts as SVG elements for the HTML report.
"""

WIDTH = 640
HEIGHT = 120
MARGIN = 30


def draw_lines(title, times, series, limit):
    """Return an SVG chart of several lines over time.

    Args:
        title: Text above the chart, already escaped for HTML.
        times: Times of the points, in seconds.
        series: Pairs of a CSS class and the values at those times.
        limit: Value that is marked by a horizontal line.
    """
    max_value = max(limit, *(max(values) for _, values in series)) or 1.0
    lines = [draw_line(name, values, max_value) for name, values in series]
    limit_y = scale_y(limit, max_value)
    span = f"{times[-1] - times[0]:.0f} s"
    return "\n".join(
        (
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">',
            f"<title>{title}</title>",
            f'<text x="{MARGIN}" y="12">{title}, over {span}</text>',
            f'<text x="0" y="{limit_y:.1f}">{limit:g}</text>',
            f'<path class="limit" d="M{MARGIN} {limit_y:.1f}H{WIDTH}"/>',
            *lines,
            "</svg>",
        )
    )


def draw_line(name, values, max_value):
    """Return one line of a chart as a polyline; `name` is its CSS class."""
    step = (WIDTH - MARGIN) / max(1, len(values) - 1)
    points = (
        f"{MARGIN + n * step:.1f},{scale_y(value, max_value):.1f}"
        for n, value in enumerate(values)
    )
    return f'<polyline class="{name}" points="{" ".join(points)}"/>'


def scale_y(value, max_value):
    """Return the vertical position of a value, capped at `max_value`."""
    plot_height = HEIGHT - MARGIN - 5
    return HEIGHT - 5 - plot_height * min(value, max_value) / max_value
