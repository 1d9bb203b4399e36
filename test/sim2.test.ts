import { SimSuite } from "./simSuite";

SimSuite.part(2, 7);
