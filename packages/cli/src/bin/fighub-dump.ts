#!/usr/bin/env node
/** Command-line tool that prints the state of an instance. */
import meow from 'meow';

import { COMMON_FLAGS, COMMON_HELP, ExitCode, clientOf, failWith, print, reportError } from '../command.js';

const cli = meow(
  `
  Prints the state of an instance: members, pools, permits, leases, breakers, revisions and counters.

  Usage
    $ fighub-dump [section]

  Options${COMMON_HELP}

  Example
    $ fighub-dump pools --address http://10.0.0.7:8080

  Exit codes: 0 done, 1 refused, 2 wrong usage, 4 no response
`,
  { importMeta: import.meta, flags: COMMON_FLAGS },
);

const dump = await clientOf(cli.flags).dump();
const [section] = cli.input;
if (!dump.ok) reportError(dump.error, cli.flags.json);
else if (section !== undefined && !(section in dump.value)) {
  failWith(
    ExitCode.usage,
    `unknown section ${section}; the sections are ${Object.keys(dump.value).join(', ')}`,
  );
} else {
  const shown = section === undefined ? dump.value : dump.value[section];
  print(JSON.stringify(shown, undefined, cli.flags.json ? undefined : 2));
}
