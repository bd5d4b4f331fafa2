// Draws a plot from each block of JSON data, with faults as labelled, shaded bands behind the lines.
const colours = ["#1668c7", "#d1495b", "#2e8b57", "#b07d00", "#7a4fb5", "#444"];
for (const block of document.querySelectorAll("script.plot")) {
  const plot = JSON.parse(block.textContent);
  const container = document.createElement("div");
  container.className = "chart";
  block.after(container);
  const drawFaults = u => {
    const { ctx, bbox } = u;
    plot.faults.forEach((fault, i) => {
      const from = u.valToPos(fault.from, "x", true);
      const to = Math.max(from + 2, u.valToPos(fault.to, "x", true));
      ctx.save();
      ctx.fillStyle = "rgba(200, 80, 0, 0.08)";
      ctx.fillRect(from, bbox.top, to - from, bbox.height);
      ctx.fillStyle = "#964b00";
      ctx.font = "11px sans-serif";
      ctx.fillText(fault.kind, from + 3, bbox.top + 12 + 13 * (i % 5));
      ctx.restore();
    });
  };
  new uPlot({
    title: plot.title, width: 1000, height: 260,
    scales: { x: { time: false } },
    series: [{ label: plot.points ? "server" : "s" }].concat(plot.names.map((name, i) => ({
      label: name, stroke: colours[i % colours.length], width: plot.points ? 0 : 1.6,
      points: { show: plot.points, size: 6, fill: colours[i % colours.length] },
    }))),
    hooks: { drawClear: [drawFaults] },
  }, plot.series, container);
}
