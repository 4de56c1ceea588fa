"""Charts.

Line charts as SVG elements for the report's page.
"""

WIDTH = 640
HEIGHT = 120
MARGIN = 30


def draw_lines(title, times, series, limit):
    """Return an SVG chart of several lines over time.

    Args:
        title: Text above the chart, already escaped.
        times: Times of the points, in seconds.
        series: Pairs of a CSS class and the values at those times.
        limit: Value that is marked by a line across.
    """
    highest = max(limit, *(max(values) for _, values in series)) or 1.0
    lines = [draw_line(name, values, highest) for name, values in series]
    bar = scale_y(limit, highest)
    span = f"{times[-1] - times[0]:.0f} s"
    return "\n".join(
        (
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">',
            f"<title>{title}</title>",
            f'<text x="{MARGIN}" y="12">{title}, over {span}</text>',
            f'<text x="0" y="{bar:.1f}">{limit:g}</text>',
            f'<path class="limit" d="M{MARGIN} {bar:.1f}H{WIDTH}"/>',
            *lines,
            "</svg>",
        )
    )


def draw_line(name, values, highest):
    """Return one line of a chart; `name` is its CSS class."""
    step = (WIDTH - MARGIN) / max(1, len(values) - 1)
    points = (
        f"{MARGIN + n * step:.1f},{scale_y(value, highest):.1f}"
        for n, value in enumerate(values)
    )
    return f'<polyline class="{name}" points="{" ".join(points)}"/>'


def scale_y(value, highest):
    """Return the vertical position of a value."""
    room = HEIGHT - MARGIN - 5
    return HEIGHT - 5 - room * min(value, highest) / highest
