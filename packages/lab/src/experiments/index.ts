/** Lists the experiments that the command `lab` can run. */
import type { Experiment } from '../experiment.js';
import { batch } from './batch.js';
import { cancel } from './cancel.js';
import { commit } from './commit.js';
import { cost } from './cost.js';
import { crash } from './crash.js';
import { drain } from './drain.js';
import { giveway } from './giveway.js';
import { harm } from './harm.js';
import { intake } from './intake.js';
import { leaving } from './leaving.js';
import { members } from './members.js';
import { once } from './once.js';
import { outage } from './outage.js';
import { overload } from './overload.js';
import { partition } from './partition.js';
import { poison } from './poison.js';
import { rolling } from './rolling.js';
import { scheduler } from './scheduler.js';
import { shares } from './shares.js';
import { silence } from './silence.js';
import { slope } from './slope.js';
import { table } from './table.js';

/** All experiments, in the order of the issues that name them; `lab list` prints them in this order. */
export const experiments: readonly Experiment[] = [
  harm,
  shares,
  once,
  silence,
  drain,
  partition,
  leaving,
  batch,
  crash,
  outage,
  poison,
  cancel,
  giveway,
  commit,
  intake,
  cost,
  table,
  members,
  rolling,
  slope,
  scheduler,
  overload,
];
