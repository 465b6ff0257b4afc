/** The operators' page: the table as an editable grid, and the current load of the pools. */

/** The HTML document of the page. It is self-contained and calls the API under `/admin/v1`. */
export const ADMIN_PAGE = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>fighub</title>
<style>
body { font-family: sans-serif; margin: 1.5em; }
table { border-collapse: collapse; margin-bottom: 1.5em; }
th, td { border: 1px solid #bbb; padding: 0.25em 0.6em; text-align: left; }
td.value { font-family: monospace; min-width: 32em; }
td.value[contenteditable]:focus { background: #fff8d6; }
.refused { background: #fbdcdc; }
.changed { background: #dcf3df; }
#message { min-height: 1.4em; }
</style>
</head>
<body>
<h1>fighub</h1>
<p><label>Key <input id="key" type="password" size="40"></label> <button id="open">Open</button></p>
<p id="message" role="status"></p>
<h2>Load</h2>
<table id="load"><thead><tr><th>pool</th><th>slots</th><th>online</th><th>batch</th><th>online waiting</th><th>batch waiting</th><th>waiting by organisation</th></tr></thead><tbody></tbody></table>
<h2>Table</h2>
<p>Edit a value and press Enter. An empty value deletes the row.</p>
<table id="rows"><thead><tr><th>row</th><th>revision</th><th>value</th></tr></thead><tbody></tbody></table>
<p><input id="newKey" placeholder="share/organisation/model" size="40"> <button id="add">Add row</button></p>
<script>
const byId = (id) => document.getElementById(id);
const headers = () => ({ Authorization: 'Bearer ' + byId('key').value });
const showMessage = (text) => { byId('message').textContent = text; };

async function call(path, options = {}) {
  const response = await fetch('/admin/v1/' + path, { ...options, headers: { ...headers(), ...options.headers } });
  const body = await response.json();
  return { ok: response.ok, body };
}

function cell(text) {
  const td = document.createElement('td');
  td.textContent = text;
  return td;
}

async function save(row, td) {
  const text = td.textContent.trim();
  let value;
  try {
    value = text === '' ? undefined : JSON.parse(text);
  } catch (error) {
    td.className = 'value refused';
    showMessage(row.key + ': the value is not valid JSON');
    return;
  }
  const condition = row.revision === 0 ? { 'If-None-Match': '*' } : { 'If-Match': '"' + row.revision + '"' };
  const response = await call('table/rows/' + row.key, {
    method: value === undefined ? 'DELETE' : 'PUT',
    headers: condition,
    body: value === undefined ? undefined : JSON.stringify(value),
  });
  if (response.ok) {
    await showRows();
    showMessage(row.key + ' was changed');
    return;
  }
  td.className = 'value refused';
  const present = response.body.present ? ' Its current value is ' + JSON.stringify(response.body.present.value) : '';
  showMessage(row.key + ': ' + response.body.detail + '.' + present);
}

function rowLine(row) {
  const tr = document.createElement('tr');
  const td = cell(row.value === undefined ? '' : JSON.stringify(row.value));
  td.className = 'value';
  td.contentEditable = 'plaintext-only';
  td.addEventListener('keydown', (event) => {
    if (event.key !== 'Enter') return;
    event.preventDefault();
    save(row, td);
  });
  tr.dataset.key = row.key;
  tr.append(cell(row.key), cell(row.revision), td);
  return tr;
}

async function showRows() {
  const response = await call('table');
  if (!response.ok) {
    showMessage(response.body.detail);
    return;
  }
  byId('rows').tBodies[0].replaceChildren(...response.body.rows.map(rowLine));
}

async function showLoad() {
  if (byId('key').value === '') return;
  const response = await call('dump');
  if (!response.ok) return;
  const lines = response.body.permits.summaries.map((pool) => {
    const tr = document.createElement('tr');
    const ownPool = response.body.pools.find((candidate) => candidate.poolId === pool.poolId);
    const waiting = ownPool ? [...ownPool.onlineByOrganisation, ...ownPool.batchByOrganisation]
      .filter((entry) => entry.waiting > 0)
      .map((entry) => entry.organisation + ' ' + entry.waiting).join(', ') : '';
    tr.append(...[pool.poolId, pool.places, pool.onlineStreams, pool.batchStreams, pool.onlineWaiting,
      pool.batchWaiting, waiting].map(cell));
    return tr;
  });
  byId('load').tBodies[0].replaceChildren(...lines);
}

byId('open').addEventListener('click', () => { showMessage(''); showRows(); showLoad(); });
byId('add').addEventListener('click', () => {
  byId('rows').tBodies[0].append(rowLine({ key: byId('newKey').value, revision: 0 }));
});
setInterval(showLoad, 1000);
</script>
</body>
</html>
`;
