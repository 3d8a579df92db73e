export default {
  files: ['dist/tests/**/*.test.js'],
  timeout: '2m',
  workerThreads: false,
  concurrency: 4,
};
