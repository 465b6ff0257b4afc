/** All experiments, in the order in which the issues name them. */
import type { Experiment } from '../experiment.js';
import { batch } from './batch.js';
import { drain } from './drain.js';
import { harm } from './harm.js';
import { leaving } from './leaving.js';
import { once } from './once.js';
import { partition } from './partition.js';
import { shares } from './shares.js';
import { silence } from './silence.js';

export const experiments: readonly Experiment[] = [
  harm,
  shares,
  once,
  silence,
  drain,
  partition,
  leaving,
  batch,
];
