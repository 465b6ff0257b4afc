/** The operators' page: the table as an editable grid, and the live load of this instance's pools. */

/** The page; it needs nothing beside itself and talks to `/admin/v1`. */
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
<table id="load"><thead><tr><th>pool</th><th>places</th><th>online</th><th>batch</th><th>online waiting</th><th>batch waiting</th><th>waiting by organisation</th></tr></thead><tbody></tbody></table>
<h2>Table</h2>
<p>Edit a value and press Enter. An empty value deletes the row.</p>
<table id="rows"><thead><tr><th>row</th><th>revision</th><th>value</th></tr></thead><tbody></tbody></table>
<p><input id="newKey" placeholder="share/organisation/model" size="40"> <button id="add">Add row</button></p>
<script>
const byId = (id) => document.getElementById(id);
const headers = () => ({ Authorization: 'Bearer ' + byId('key').value });
const say = (text) => { byId('message').textContent = text; };

async function call(path, options = {}) {
  const answer = await fetch('/admin/v1/' + path, { ...options, headers: { ...headers(), ...options.headers } });
  const body = await answer.json();
  return { ok: answer.ok, body };
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
    say(row.key + ': the value is not JSON');
    return;
  }
  const condition = row.revision === 0 ? { 'If-None-Match': '*' } : { 'If-Match': '"' + row.revision + '"' };
  const answer = await call('table/rows/' + row.key, {
    method: value === undefined ? 'DELETE' : 'PUT',
    headers: condition,
    body: value === undefined ? undefined : JSON.stringify(value),
  });
  if (answer.ok) {
    await showRows();
    say(row.key + ' is changed');
    return;
  }
  td.className = 'value refused';
  const present = answer.body.present ? ' It is now ' + JSON.stringify(answer.body.present.value) : '';
  say(row.key + ': ' + answer.body.detail + '.' + present);
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
  const answer = await call('table');
  if (!answer.ok) {
    say(answer.body.detail);
    return;
  }
  byId('rows').tBodies[0].replaceChildren(...answer.body.rows.map(rowLine));
}

async function showLoad() {
  if (byId('key').value === '') return;
  const answer = await call('dump');
  if (!answer.ok) return;
  const lines = answer.body.permits.summaries.map((pool) => {
    const tr = document.createElement('tr');
    const own = answer.body.pools.find((candidate) => candidate.poolId === pool.poolId);
    const waiting = own ? [...own.onlineByOrganisation, ...own.batchByOrganisation]
      .filter((entry) => entry.waiting > 0)
      .map((entry) => entry.organisation + ' ' + entry.waiting).join(', ') : '';
    tr.append(...[pool.poolId, pool.places, pool.onlineStreams, pool.batchStreams, pool.onlineWaiting,
      pool.batchWaiting, waiting].map(cell));
    return tr;
  });
  byId('load').tBodies[0].replaceChildren(...lines);
}

byId('open').addEventListener('click', () => { say(''); showRows(); showLoad(); });
byId('add').addEventListener('click', () => {
  byId('rows').tBodies[0].append(rowLine({ key: byId('newKey').value, revision: 0 }));
});
setInterval(showLoad, 1000);
</script>
</body>
</html>
`;
