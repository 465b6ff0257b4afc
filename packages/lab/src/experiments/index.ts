/** All experiments, by the order in which the issues name them. */
import type { Experiment } from '../experiment.js';
import { batch } from './batch.js';
import { harm } from './harm.js';

export const experiments: readonly Experiment[] = [harm, batch];
