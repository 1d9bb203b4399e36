module.exports = {
  testEnvironment: "node",
  roots: ["<rootDir>/dist/test", "<rootDir>/dist/platform"],
  testTimeout: 300000,
};
