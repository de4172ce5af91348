/** Script of the timeline page. It draws on a canvas, because thousands of DOM elements would make the page slow. */
export const pageScript = `
(() => {
  const { rows, events } = JSON.parse(document.getElementById('data').textContent);
  const WALL = 0, COUNTER = 1, HOST = 2, KIND = 3, REQUEST = 4, SERVICE = 5, OPERATION = 6, PRIORITY = 7, DATA = 8;
  const colours = {
    callAccepted: '#7f8fa9', callStarted: '#5fa8d3', callAnswered: '#2e9e5b', callRefused: '#d9483b',
    callRetried: '#e39a20', callCancelled: '#8d6e63', targetAnnounced: '#00897b', targetChanged: '#00695c',
    targetCrashed: '#7b1fa2', limitChanged: '#3f51b5', sheddingChanged: '#c2185b', routeEjected: '#ef6c00',
    routeRestored: '#9ccc65', memberChanged: '#90a4ae', linkChanged: '#455a64', configurationApplied: '#1e88e5',
    configurationRejected: '#ad1457', logChanged: '#5d4037', snapshotWritten: '#0097a7', quarantineChanged: '#6a1b9a',
    ticketDecided: '#afb42b', nodeStarted: '#212121', nodeStopping: '#757575', pauseDetected: '#ff1744',
  };
  // Answered calls are drawn above and refused calls below the middle of the row, so that dense events do not overlap.
  const offsets = { callAnswered: -6, callAccepted: -6, callStarted: -6, callRefused: 6, callCancelled: 6 };
  const ROW = 26, GROUP = 20, AXIS = 26, LABEL = 190, MARK = 3, RIGHT = 10;
  const canvas = document.getElementById('chart');
  const context = canvas.getContext('2d');
  const byId = (id) => document.getElementById(id);
  const first = events.length > 0 ? events[0][WALL] : 0;
  const last = events.length > 0 ? events[events.length - 1][WALL] : 1;
  const margin = Math.max(1, (last - first) * 0.01);
  const view = { from: first - margin, to: last + margin };
  const hidden = new Set();
  const rowY = new Map();
  const groups = [];
  let height = AXIS, width = 0, drawn = [], drag, selected;
  for (const row of rows) {
    if (groups.length === 0 || groups[groups.length - 1].name !== row.dataCenter) {
      groups.push({ name: row.dataCenter, y: height });
      height += GROUP;
    }
    rowY.set(row.host, height);
    height += ROW;
  }
  height += 6;

  const formatTime = (wall) => new Date(wall).toISOString().slice(11, 23);
  const formatSpan = (span) => span >= 1000 ? (span / 1000).toFixed(1) + ' s' : span.toFixed(1) + ' ms';
  const computeX = (wall) => LABEL + ((wall - view.from) / (view.to - view.from)) * (width - LABEL - RIGHT);
  const computeTime = (x) => view.from + ((x - LABEL) / (width - LABEL - RIGHT)) * (view.to - view.from);
  const isShown = (event) => {
    const request = byId('request').value.trim(), service = byId('service').value, host = byId('host').value;
    return !hidden.has(event[KIND]) && (request === '' || event[REQUEST] === request) &&
      (service === '' || event[SERVICE] === service) && (host === '' || event[HOST] === host);
  };
  const chooseStep = () => {
    const wanted = (view.to - view.from) / Math.max(2, (width - LABEL) / 130);
    const power = 10 ** Math.floor(Math.log10(wanted));
    return [1, 2, 5, 10].map((factor) => factor * power).find((step) => step >= wanted);
  };

  function drawAxis() {
    const step = chooseStep();
    context.textAlign = 'center';
    for (let at = Math.ceil(view.from / step) * step; at <= view.to; at += step) {
      const x = computeX(at);
      context.fillStyle = '#e4e8ef';
      context.fillRect(x, AXIS - 6, 1, height);
      context.fillStyle = '#5b6475';
      if (x > LABEL + 34 && x < width - 40)
        context.fillText(step >= 1000 ? formatTime(at).slice(0, 8) : formatTime(at), x, 11);
    }
    context.textAlign = 'left';
  }
  function drawRows() {
    for (const group of groups) {
      context.fillStyle = '#e9edf4';
      context.fillRect(0, group.y, width, GROUP);
      context.fillStyle = '#1d2330';
      context.font = 'bold 12px system-ui, sans-serif';
      context.fillText('data centre ' + group.name, 8, group.y + GROUP / 2);
    }
    context.font = '11px system-ui, sans-serif';
    for (const [host, y] of rowY) {
      context.fillStyle = '#eef1f5';
      context.fillRect(0, y + ROW - 1, width, 1);
      context.fillStyle = '#303849';
      context.fillText(host, 8, y + ROW / 2, LABEL - 14);
    }
  }
  function drawEvents() {
    const isOneRequest = byId('request').value.trim() !== '';
    let previous, shown = 0;
    drawn = [];
    for (const event of events) {
      const y = rowY.get(event[HOST]);
      if (y === undefined || !isShown(event)) continue;
      shown++;
      if (event[WALL] < view.from || event[WALL] > view.to) continue;
      const x = computeX(event[WALL]), middle = y + ROW / 2;
      if (isOneRequest && previous !== undefined) {
        context.strokeStyle = '#9aa5b8';
        context.beginPath();
        context.moveTo(previous.x, previous.y);
        context.lineTo(x, middle);
        context.stroke();
      }
      previous = { x, y: middle };
      const isCall = event[KIND].startsWith('call');
      const half = isCall ? 4 : 9;
      const top = middle - half + (offsets[event[KIND]] ?? 0);
      context.globalAlpha = isCall && event !== selected ? 0.55 : 1;
      context.fillStyle = colours[event[KIND]] ?? '#000';
      context.fillRect(x - MARK / 2, top, MARK, half * 2);
      context.globalAlpha = 1;
      if (event === selected) {
        context.strokeStyle = '#000';
        context.strokeRect(x - MARK / 2 - 2, top - 2, MARK + 4, half * 2 + 4);
      }
      drawn.push({ x, y: middle, event });
    }
    return shown;
  }
  function draw() {
    width = canvas.clientWidth;
    const ratio = window.devicePixelRatio || 1;
    canvas.width = width * ratio;
    canvas.height = height * ratio;
    canvas.style.height = height + 'px';
    context.setTransform(ratio, 0, 0, ratio, 0, 0);
    context.clearRect(0, 0, width, height);
    context.textBaseline = 'middle';
    context.font = '11px system-ui, sans-serif';
    drawAxis();
    drawRows();
    context.save();
    context.beginPath();
    context.rect(LABEL, 0, width - LABEL, height);
    context.clip();
    const shown = drawEvents();
    context.restore();
    byId('count').textContent = shown + ' of ' + events.length + ' events, ' + rows.length + ' processes, ' +
      formatSpan(view.to - view.from) + ' in view';
  }

  const findNearest = (x, y) => {
    let best, bestDistance = 10;
    for (const mark of drawn) {
      if (Math.abs(mark.y - y) > ROW / 2) continue;
      const distance = Math.abs(mark.x - x);
      if (distance <= bestDistance) { best = mark; bestDistance = distance; }
    }
    return best?.event;
  };
  const describe = (event) => [
    formatTime(event[WALL]) + ' + ' + event[COUNTER] + '   ' + event[KIND] + ' at ' + event[HOST],
    event[SERVICE] === '' ? '' : event[SERVICE] + (event[OPERATION] === '' ? '' : '/' + event[OPERATION]) +
      (event[PRIORITY] === '' ? '' : ' (priority ' + event[PRIORITY] + ')'),
    event[REQUEST] === '' ? '' : 'request ' + event[REQUEST],
    Object.entries(event[DATA]).map(([name, value]) => name + ': ' + value).join('   '),
  ].filter((line) => line !== '').join('\\n');

  const fillSelect = (id, column) => {
    for (const value of [...new Set(events.map((event) => event[column]))].sort()) {
      if (value === '') continue;
      const option = document.createElement('option');
      option.value = option.textContent = value;
      byId(id).append(option);
    }
    byId(id).addEventListener('change', draw);
  };
  const fillKinds = () => {
    const counts = new Map();
    for (const event of events) counts.set(event[KIND], (counts.get(event[KIND]) ?? 0) + 1);
    for (const kind of [...counts.keys()].sort()) {
      const label = document.createElement('label');
      const box = document.createElement('input');
      const mark = document.createElement('i');
      box.type = 'checkbox';
      box.checked = true;
      mark.style.background = colours[kind] ?? '#000';
      box.addEventListener('change', () => {
        if (box.checked) hidden.delete(kind); else hidden.add(kind);
        draw();
      });
      label.append(box, mark, kind + ' (' + counts.get(kind) + ')');
      byId('kinds').append(label);
    }
  };

  canvas.addEventListener('mousemove', (input) => {
    if (drag !== undefined) {
      const shift = ((drag.x - input.offsetX) / (width - LABEL - RIGHT)) * (drag.to - drag.from);
      view.from = drag.from + shift;
      view.to = drag.to + shift;
      drag.isMoved = drag.isMoved || Math.abs(drag.x - input.offsetX) > 3;
      draw();
      return;
    }
    const event = findNearest(input.offsetX, input.offsetY);
    if (event === undefined || event === selected) return;
    selected = event;
    byId('detail').textContent = describe(event);
    draw();
  });
  canvas.addEventListener('mousedown', (input) => { drag = { x: input.offsetX, isMoved: false, ...view }; });
  window.addEventListener('mouseup', (input) => {
    const wasMoved = drag?.isMoved ?? true;
    drag = undefined;
    if (wasMoved || input.target !== canvas) return;
    const event = findNearest(input.offsetX, input.offsetY);
    if (event === undefined || event[REQUEST] === '') return;
    byId('request').value = event[REQUEST];
    draw();
  });
  canvas.addEventListener('wheel', (input) => {
    input.preventDefault();
    const at = computeTime(input.offsetX);
    const factor = input.deltaY > 0 ? 1.25 : 0.8;
    view.from = at - (at - view.from) * factor;
    view.to = at + (view.to - at) * factor;
    draw();
  }, { passive: false });
  byId('reset').addEventListener('click', () => {
    view.from = first - margin;
    view.to = last + margin;
    for (const id of ['request', 'service', 'host']) byId(id).value = '';
    draw();
  });
  byId('request').addEventListener('input', draw);
  window.addEventListener('resize', draw);
  fillSelect('service', SERVICE);
  fillSelect('host', HOST);
  fillKinds();
  draw();
})();
`;
