/** One kind of request that callers send. */
export interface CallSpec {
  readonly service: string;
  readonly method: 'GET' | 'POST';
  /** Requests a second over all callers. */
  readonly rate: number;
}

/** One deployment as the demo runs it. */
export interface DemoSpec {
  readonly name: string;
  /** Directory of its files, under the examples. */
  readonly directory: string;
  readonly entryVms: number;
  /** Mean service time of its targets, in milliseconds. */
  readonly serviceMs: number;
  readonly calls: readonly CallSpec[];
  /** Zone that operators take out and bring back. */
  readonly zoneOut: string;
  /** Targets that something happens to, by their ids. */
  readonly slowTarget: string;
  readonly leavingTarget: string;
  readonly crashingTarget: string;
  readonly cuttingTarget: string;
}

/** The two deployments of the brief, at a rate that one process can send and answer. */
export const DEMO_SPECS: readonly DemoSpec[] = [
  {
    name: 'Marée Boréale',
    directory: 'maree-boreale',
    entryVms: 3,
    serviceMs: 20,
    calls: [
      { service: 'horaires', method: 'GET', rate: 30 },
      { service: 'plongee', method: 'POST', rate: 4 },
      { service: 'billetterie', method: 'POST', rate: 4 },
      { service: 'billetterie', method: 'GET', rate: 4 },
    ],
    zoneOut: 'phare',
    slowTarget: 'horaires/horaires-1',
    leavingTarget: 'horaires/horaires-4',
    crashingTarget: 'horaires/horaires-6',
    cuttingTarget: 'horaires/horaires-3',
  },
  {
    name: 'Makaa',
    directory: 'makaa',
    entryVms: 4,
    serviceMs: 20,
    calls: [
      { service: 'bei', method: 'GET', rate: 30 },
      { service: 'safari', method: 'POST', rate: 4 },
      { service: 'hesabu', method: 'POST', rate: 4 },
    ],
    zoneOut: 'ilala',
    slowTarget: 'bei/bei-1',
    leavingTarget: 'bei/bei-5',
    crashingTarget: 'bei/bei-7',
    cuttingTarget: 'bei/bei-3',
  },
];
