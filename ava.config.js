export default {
  files: ['.build/tests/**/*.spec.js'],
  timeout: '2m',
  workerThreads: false,
  concurrency: 4,
};
